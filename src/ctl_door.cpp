#include "ctl_door.hpp"

#include <fmt/format.h>

#include <thread>

namespace mulberry
{
namespace
{

door_failure::kind reason_of(rpc_failure const& failure)
{
    switch (failure.code())
    {
    case rpc_not_sent:
        return door_failure::kind::unreachable;
    case rpc_outcome_unknown:
        return door_failure::kind::outcome_unknown;
    default:
        return door_failure::kind::refused;
    }
}

/// A failed call as the commands see it.
door_failure converted(rpc_failure const& failure, std::string const& address)
{
    std::string text = fmt::format("{}: {}", address, failure.what());
    if (failure.code() == rpc_refused)
        text += "; is the key right?";
    return {reason_of(failure), text, failure.data()};
}

} // namespace

steady_ctl_clock::time_point steady_ctl_clock::now() const
{
    return std::chrono::steady_clock::now();
}

void steady_ctl_clock::sleep_until(time_point when)
{
    std::this_thread::sleep_until(when);
}

rpc_ctl_door::rpc_ctl_door(http_client& client,
                           std::vector<std::string> const& addresses,
                           std::string const& key,
                           std::chrono::milliseconds timeout)
    : timeout_(timeout)
{
    for (std::string const& address : addresses)
        doors_.push_back(
            {address, std::make_unique<rpc_client>(
                          client, "http://" + address + "/rpc", key)});
}

// A call that no VM saw may always go to the next one. One whose answer was
// lost may have run: sending it again could do it twice, so only calls that
// allow it are.
Json::Value rpc_ctl_door::call(std::string const& method,
                               Json::Value const& parameters, resend lost)
{
    std::string failures;
    bool may_have_run = false;
    for (vm_door const& door : doors_)
    {
        auto const deadline = std::chrono::steady_clock::now() + timeout_;
        try
        {
            return door.client->call(method, parameters, deadline);
        }
        catch (rpc_failure const& failure)
        {
            door_failure const seen = converted(failure, door.address);
            if (seen.reason() == door_failure::kind::refused)
                throw seen;
            bool const unseen =
                seen.reason() == door_failure::kind::unreachable;
            if (!unseen && lost == resend::never)
                throw seen;
            may_have_run = may_have_run || !unseen;
            failures +=
                (failures.empty() ? "" : "; ") + std::string(seen.what());
        }
    }
    throw door_failure(may_have_run ? door_failure::kind::outcome_unknown
                                    : door_failure::kind::unreachable,
                       failures);
}

} // namespace mulberry
