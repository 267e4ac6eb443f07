#include "startup_hold.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// A request waits here for at most this fraction (a quarter) of its remaining
/// time: three quarters are left for another VM and the answer itself.
constexpr int hold_divisor = 4;

} // namespace

time_point startup_hold::hold_until(time_point now,
                                    std::optional<duration> time_left) const
{
    time_point until = started_ + limits_.max_hold;
    if (time_left)
        until = std::min(until, now + *time_left / hold_divisor);
    return std::max(until, now);
}

duration startup_hold::retry_after(time_point now) const
{
    return std::clamp(now - started_, limits_.min_retry_after,
                      limits_.max_retry_after);
}

} // namespace mulberry
