#include "start_hold.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Of the time that a caller has left, so much is spent waiting here at most:
/// three quarters are left for another VM and the answer itself.
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
