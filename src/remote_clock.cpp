#include "remote_clock.hpp"

#include <algorithm>

namespace mulberry
{

time_point remote_clock::made_at(std::optional<duration> remote,
                                 time_point asked_at, time_point answered_at)
{
    if (!remote)
        return asked_at;
    time_point const remote_epoch = asked_at - *remote;
    remote_epoch_ =
        std::max(remote_epoch_.value_or(remote_epoch), remote_epoch);
    // The answer would have been made after it arrived: the clocks run at
    // different speeds, or the remote clock was reset.
    if (*remote_epoch_ + *remote > answered_at)
        remote_epoch_ = remote_epoch;
    return *remote_epoch_ + *remote;
}

} // namespace mulberry
