#include "start_hold.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// A request waits here for at most this fraction (a quarter) of its remaining
/// time: three quarters are left for another VM and the answer itself.
constexpr int held_part = 4;

} // namespace

time_point start_hold::keep_until(time_point now,
                                  std::optional<duration> time_left) const
{
    time_point until = started_ + limits_.longest_hold;
    if (time_left)
        until = std::min(until, now + *time_left / held_part);
    return std::max(until, now);
}

duration start_hold::retry_after(time_point now) const
{
    return std::clamp(now - started_, limits_.least_retry,
                      limits_.longest_retry);
}

} // namespace mulberry
