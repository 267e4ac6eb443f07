#include "team_directory.hpp"

#include <utility>

namespace mulberry
{
namespace
{

/// Short, since newer declarations may be read at any time.
constexpr std::chrono::milliseconds stale_retry{300};
/// The bound divided by this is reserved for clock drift between VMs.
constexpr int clock_drift_divisor = 20;

error stale(char const* text)
{
    return {error_kind::configuration_stale, text, ran::no, stale_retry};
}

bool too_old(time_point proven_at, duration bound, time_point now)
{
    return bound > duration(0) &&
           now >= proven_at + (bound - bound / clock_drift_divisor);
}

} // namespace

team_directory::team_directory(std::shared_ptr<routing_config const> config)
    : config_(std::move(config))
{
    for (team const& each : config_->teams)
        for (key_digest const& key : each.keys)
            by_key_.emplace(key, &each);
}

team const* team_directory::holder(key_digest const& key) const
{
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

access_decision team_directory::decide(route const& matched,
                                       std::optional<key_digest> const& key,
                                       declarations_known const& known,
                                       key_bounds const& bounds,
                                       time_point now) const
{
    if (empty() || matched.allows_anonymous)
        return access_granted{};
    if (!key)
        return error(error_kind::unauthorized, "the request has no key");
    if (too_old(known.proven_at, bounds.revocation, now))
        return stale("the key may have been taken away");
    if (team const* const found = holder(*key))
        return access_granted{found};
    if (now > known.shown_at + bounds.unknown_key_max_age)
        return stale("the key may be newer than what this VM knows");
    return error(error_kind::unauthorized, "no team has the key");
}

} // namespace mulberry
