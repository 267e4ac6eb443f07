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
    // An answer that was made after it came: the clocks do not run alike, or
    // the other side's began anew.
    if (*zero_ + *remote > answered_at)
        zero_ = zero;
    return *zero_ + *remote;
}

} // namespace mulberry
