/// What becomes of requests that arrive before a VM knows its configuration.
#ifndef MULBERRY_START_HOLD_HPP
#define MULBERRY_START_HOLD_HPP

#include "time_point.hpp"

#include <optional>

namespace mulberry
{

struct start_limits
{
    /// How long after its start a VM keeps requests until it knows enough to
    /// serve them: the store answers within milliseconds, and a VM that has not
    /// heard from it by then is cut off or the store is away.
    duration longest_hold = std::chrono::milliseconds(500);
    /// When those that are turned away come back, at the earliest. Callers come
    /// back once: sooner than the store they would be turned away for good.
    duration least_retry = std::chrono::milliseconds(800);
    duration longest_retry = std::chrono::seconds(3);
    friend bool operator==(start_limits const&, start_limits const&) = default;
};

/// Load it answers: all VMs are killed at once and come back within moments of
/// each other, and their callers with them, all in the first half second.
/// Turned away at once, each has used up the one time that it comes back before
/// any VM serves. So a VM that has just started keeps requests for a moment;
/// later it turns them away at once. Thread safety: const calls from any
/// thread. Pure: no I/O, no clock.
class start_hold
{
public:
    start_hold(start_limits limits, time_point started)
        : limits_(limits), started_(started)
    {
    }

    /// Until when a request that arrives now is kept; `now` if it is to be
    /// turned away at once. A caller that has little time gets it back in time
    /// to try elsewhere.
    time_point keep_until(time_point now,
                          std::optional<duration> time_left) const;
    /// When one that is turned away now is to come back: an absence that has
    /// lasted so long is expected to last as long again.
    duration retry_after(time_point now) const;

private:
    start_limits limits_;
    time_point started_;
};

} // namespace mulberry

#endif
