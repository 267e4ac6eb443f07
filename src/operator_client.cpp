#include "operator_client.hpp"

#include <fmt/format.h>

#include <thread>

namespace mulberry
{
namespace
{

operator_call_failure::kind kind_of(rpc_failure const& failure)
{
    switch (failure.code())
    {
    case rpc_not_sent:
        return operator_call_failure::kind::unreachable;
    case rpc_outcome_unknown:
        return operator_call_failure::kind::outcome_unknown;
    default:
        return operator_call_failure::kind::refused;
    }
}

/// Adds the VM's address to the message and converts the error code.
operator_call_failure to_call_failure(rpc_failure const& failure,
                                      std::string const& address)
{
    std::string text = fmt::format("{}: {}", address, failure.what());
    if (failure.code() == rpc_refused)
        text += "; is the key right?";
    return {kind_of(failure), text, failure.data()};
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

rpc_operator_client::rpc_operator_client(
    http_client& client, std::vector<std::string> const& addresses,
    std::string const& key, std::chrono::milliseconds timeout)
    : timeout_(timeout)
{
    for (std::string const& address : addresses)
        clients_.push_back(
            {address, std::make_unique<rpc_client>(
                          client, "http://" + address + "/rpc", key)});
}

// A call that was not received can always be sent to the next VM. A call whose
// answer was lost may have run, and sending it again could run it twice, so it
// is sent again only if the caller allows that.
Json::Value rpc_operator_client::call(std::string const& method,
                                      Json::Value const& parameters,
                                      resend on_lost_answer)
{
    std::string failures;
    bool may_have_run = false;
    for (vm_client const& client : clients_)
    {
        auto const deadline = std::chrono::steady_clock::now() + timeout_;
        try
        {
            return client.client->call(method, parameters, deadline);
        }
        catch (rpc_failure const& failure)
        {
            operator_call_failure const call_failure =
                to_call_failure(failure, client.address);
            if (call_failure.reason() == operator_call_failure::kind::refused)
                throw call_failure;
            bool const not_sent = call_failure.reason() ==
                                  operator_call_failure::kind::unreachable;
            if (!not_sent && on_lost_answer == resend::never)
                throw call_failure;
            may_have_run = may_have_run || !not_sent;
            failures += (failures.empty() ? "" : "; ") +
                        std::string(call_failure.what());
        }
    }
    throw operator_call_failure(
        may_have_run ? operator_call_failure::kind::outcome_unknown
                     : operator_call_failure::kind::unreachable,
        failures);
}

} // namespace mulberry
