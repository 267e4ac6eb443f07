/// Holds requests that arrive before a starting VM knows its configuration.
#ifndef MULBERRY_STARTUP_HOLD_HPP
#define MULBERRY_STARTUP_HOLD_HPP

#include "time_point.hpp"

#include <optional>

namespace mulberry
{

struct startup_limits
{
    /// How long after its start a VM holds requests while it waits for its
    /// configuration. The store answers within milliseconds; a VM that has no
    /// answer by then is cut off, or the store is down.
    duration max_hold = std::chrono::milliseconds(500);
    /// Lower bound of the retry delay for rejected requests. Callers retry only
    /// once: a retry before the store is back would fail for good.
    duration min_retry_after = std::chrono::milliseconds(800);
    duration max_retry_after = std::chrono::seconds(3);
    friend bool operator==(startup_limits const&,
                           startup_limits const&) = default;
};

/// Load it answers: all VMs are killed at once and restart within moments of
/// each other, and their callers come back with them, all in the first half
/// second. If these requests were rejected at once, each caller would use up
/// its only retry before any VM serves. A VM that has just started therefore
/// holds requests for a moment; later it rejects them at once.
///
/// Thread safety: const calls from any thread. Pure: no I/O, no clock.
class startup_hold
{
public:
    startup_hold(startup_limits limits, time_point started)
        : limits_(limits), started_(started)
    {
    }

    /// Until when a request that arrives now is held; `now` if it is to be
    /// rejected at once. `time_left` is the caller's remaining time: a caller
    /// with little time left gets its request back in time to try another VM.
    time_point hold_until(time_point now,
                          std::optional<duration> time_left) const;
    /// After what delay a request rejected now should be retried: an outage
    /// that has lasted for some time is expected to last as long again.
    duration retry_after(time_point now) const;

private:
    startup_limits limits_;
    time_point started_;
};

} // namespace mulberry

#endif
