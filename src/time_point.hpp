/// The time types of the decision core. The core reads no clock: each event
/// carries its time, so that a recorded schedule replays exactly.
#ifndef MULBERRY_TIME_POINT_HPP
#define MULBERRY_TIME_POINT_HPP

#include <chrono>

namespace mulberry
{

/// A clock type for std::chrono without now(), since only the shell reads a
/// real clock.
struct core_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// Microseconds since an epoch that differs between processes; never sent to
/// another process.
using time_point = core_clock::time_point;
using duration = core_clock::duration;

/// Later than every event.
inline constexpr time_point never = time_point::max();

} // namespace mulberry

#endif
