/// Quarters of the calendar year, in UTC.
#ifndef MULBERRY_CALENDAR_QUARTER_HPP
#define MULBERRY_CALENDAR_QUARTER_HPP

#include <chrono>
#include <string>

namespace mulberry
{

struct calendar_quarter
{
    /// For example 2026-Q4.
    std::string name;
    /// Start of the next quarter.
    std::chrono::sys_seconds ends;
    friend bool operator==(calendar_quarter const&,
                           calendar_quarter const&) = default;
};

/// The quarter that contains the moment.
calendar_quarter quarter_of(std::chrono::system_clock::time_point moment);

} // namespace mulberry

#endif
