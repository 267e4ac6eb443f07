/// What counts towards the quarterly targets, by application.
#ifndef MULBERRY_QUARTER_COUNTS_HPP
#define MULBERRY_QUARTER_COUNTS_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <map>

namespace mulberry
{

/// Requests ended since a bound was declared, and those of them that were
/// answered whole within it. Value.
struct bound_counts
{
    std::uint64_t counted = 0;
    std::uint64_t within = 0;
    friend bool operator==(bound_counts const&, bound_counts const&) = default;
};

/// Totals of one application that only rise. Value.
struct quarter_counts
{
    std::uint64_t requests = 0;
    std::uint64_t stalled = 0;
    /// By the bound of each target. Each counts from its own declaration on:
    /// set in mid-quarter, it is not held against requests of before.
    std::map<duration, bound_counts> bounds;
    duration busy_slot_time{};
    duration open_slot_time{};
    friend bool operator==(quarter_counts const&,
                           quarter_counts const&) = default;
};

using quarter_totals = std::map<application_id, quarter_counts>;

void add(quarter_totals& sum, quarter_totals const& more);

/// What `later` has beyond `earlier`; no count falls below 0.
quarter_totals difference(quarter_totals const& later,
                          quarter_totals const& earlier);

} // namespace mulberry

#endif
