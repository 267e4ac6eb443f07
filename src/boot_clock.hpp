/// The relay's clock: time since boot, suspends included.
#ifndef MULBERRY_BOOT_CLOCK_HPP
#define MULBERRY_BOOT_CLOCK_HPP

#include "time_point.hpp"

#include <chrono>
#include <ctime>

namespace mulberry
{

/// Failure: a suspended VM's steady clock stands still, so that after it wakes
/// a lease that lapsed meanwhile still looks held, and the VM gives orders
/// beside the new owner. CLOCK_BOOTTIME counts the suspend. Thread safety:
/// stateless.
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

    /// The same moment for timers, which run on the steady clock.
    static std::chrono::steady_clock::time_point to_steady(time_point moment)
    {
        return std::chrono::steady_clock::now() + (moment - now());
    }
};

} // namespace mulberry

#endif
