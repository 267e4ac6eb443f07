/// The only place that reads a real clock for the decision core.
#ifndef MULBERRY_SHELL_CLOCK_HPP
#define MULBERRY_SHELL_CLOCK_HPP

#include "time_point.hpp"

#include <chrono>
#include <cstdint>

namespace mulberry
{

/// Converts between the steady clock and the core's time_point. The epoch of
/// time_point is 24 h before the first use of this clock in the process, so
/// that time points shortly before the start of the process are not negative.
///
/// Thread safety: stateless.
class shell_clock
{
public:
    static time_point now() { return from_steady(steady::now()); }

    static time_point from_steady(std::chrono::steady_clock::time_point moment)
    {
        return time_point(std::chrono::duration_cast<duration>(
            moment - process_start() + std::chrono::hours(24)));
    }

    /// Converts `never` to 24 h from now.
    static std::chrono::steady_clock::time_point to_steady(time_point moment)
    {
        if (moment == never)
            return steady::now() + std::chrono::hours(24);
        return process_start() +
               (moment.time_since_epoch() - duration(std::chrono::hours(24)));
    }

    /// Returns the wall clock in milliseconds since the Unix epoch.
    static std::uint64_t wall_ms()
    {
        using namespace std::chrono;
        return static_cast<std::uint64_t>(
            duration_cast<milliseconds>(system_clock::now().time_since_epoch())
                .count());
    }

private:
    using steady = std::chrono::steady_clock;

    static steady::time_point process_start()
    {
        static steady::time_point const start = steady::now();
        return start;
    }
};

} // namespace mulberry

#endif
