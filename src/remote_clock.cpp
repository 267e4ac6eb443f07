#include "remote_clock.hpp"

#include <algorithm>

namespace mulberry
{

time_point remote_clock::made_at(std::optional<duration> remote,
                                 time_point asked_at, time_point answered_at)
{
    if (!remote)
        return asked_at;
    time_point const zero = asked_at - *remote;
    zero_ = std::max(zero_.value_or(zero), zero);
    // The answer would have been made after it arrived: the clocks run at
    // different speeds, or the remote clock was reset.
    if (*zero_ + *remote > answered_at)
        zero_ = zero;
    return *zero_ + *remote;
}

} // namespace mulberry
