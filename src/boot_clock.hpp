/// The relay's clock: time since boot, including time spent suspended.
#ifndef MULBERRY_BOOT_CLOCK_HPP
#define MULBERRY_BOOT_CLOCK_HPP

#include "time_point.hpp"

#include <chrono>
#include <ctime>

namespace mulberry
{

/// Reads CLOCK_BOOTTIME, which also advances while the VM is suspended. The
/// steady clock stops during a suspend: after a resume, a lease that expired
/// meanwhile would still seem to be held, and the VM would give orders to
/// workers that already have a new owner.
/// Thread safety: stateless.
struct boot_clock
{
    static time_point now()
    {
        timespec read{};
        clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(read.tv_sec) +
            std::chrono::nanoseconds(read.tv_nsec)));
    }

    /// Converts a time of this clock to the steady clock, on which timers run.
    static std::chrono::steady_clock::time_point to_steady(time_point moment)
    {
        return std::chrono::steady_clock::now() + (moment - now());
    }
};

} // namespace mulberry

#endif
