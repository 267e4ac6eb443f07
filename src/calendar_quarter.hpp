/// Quarters of the calendar year, in UTC.
#ifndef MULBERRY_CALENDAR_QUARTER_HPP
#define MULBERRY_CALENDAR_QUARTER_HPP

#include <chrono>
#include <string>

namespace mulberry
{

struct calendar_quarter
{
    /// 2026-Q4.
    std::string name;
    /// The first moment of the next one.
    std::chrono::sys_seconds ends;
    friend bool operator==(calendar_quarter const&,
                           calendar_quarter const&) = default;
};

/// The quarter that the moment lies in.
calendar_quarter quarter_of(std::chrono::system_clock::time_point moment);

} // namespace mulberry

#endif
