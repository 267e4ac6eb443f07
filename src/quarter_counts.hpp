/// Counts towards the quarterly targets, per application.
#ifndef MULBERRY_QUARTER_COUNTS_HPP
#define MULBERRY_QUARTER_COUNTS_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <map>

namespace mulberry
{

/// The number of requests that ended since a bound was declared, and how many
/// of them were answered completely within the bound. Value.
struct bound_counts
{
    std::uint64_t counted = 0;
    std::uint64_t within = 0;
    friend bool operator==(bound_counts const&, bound_counts const&) = default;
};

/// Monotonically increasing totals of one application. Value.
struct quarter_counts
{
    std::uint64_t requests = 0;
    std::uint64_t stalled = 0;
    /// Counts per bound of an answered_within target. Each bound counts from
    /// its own declaration on, so that a bound declared in mid-quarter does not
    /// apply to earlier requests.
    std::map<duration, bound_counts> bounds;
    duration busy_slot_time{};
    duration open_slot_time{};
    friend bool operator==(quarter_counts const&,
                           quarter_counts const&) = default;
};

using quarter_totals = std::map<application_id, quarter_counts>;

/// Adds `more` to `sum`.
void add(quarter_totals& sum, quarter_totals const& more);

/// Returns `later` minus `earlier`; counts that would be negative become 0.
quarter_totals difference(quarter_totals const& later,
                          quarter_totals const& earlier);

} // namespace mulberry

#endif
