/// Time as the decision core sees it: a value that comes in with each event.
/// The core has no clock of its own, so that a schedule replays exactly.
#ifndef MULBERRY_TIME_POINT_HPP
#define MULBERRY_TIME_POINT_HPP

#include <chrono>

namespace mulberry
{

/// A tag for std::chrono without now(): only the shell reads a real clock.
struct core_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// Microseconds since an epoch of the process's own; never sent to another
/// process, since their epochs differ.
using time_point = core_clock::time_point;
using duration = core_clock::duration;

/// Later than every event.
inline constexpr time_point never = time_point::max();

} // namespace mulberry

#endif
