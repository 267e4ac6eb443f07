#include "quarter_counts.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

std::uint64_t saturating_difference(std::uint64_t later, std::uint64_t earlier)
{
    return later - std::min(later, earlier);
}

duration saturating_difference(duration later, duration earlier)
{
    return later - std::min(later, earlier);
}

void subtract(quarter_counts& from, quarter_counts const& by)
{
    from.requests = saturating_difference(from.requests, by.requests);
    from.stalled = saturating_difference(from.stalled, by.stalled);
    from.busy_slot_time =
        saturating_difference(from.busy_slot_time, by.busy_slot_time);
    from.open_slot_time =
        saturating_difference(from.open_slot_time, by.open_slot_time);
    for (auto const& [bound, counts] : by.bounds)
    {
        bound_counts& remaining = from.bounds[bound];
        remaining.counted =
            saturating_difference(remaining.counted, counts.counted);
        remaining.within =
            saturating_difference(remaining.within, counts.within);
    }
}

} // namespace

void add(quarter_totals& sum, quarter_totals const& more)
{
    for (auto const& [application, counts] : more)
    {
        quarter_counts& total = sum[application];
        total.requests += counts.requests;
        total.stalled += counts.stalled;
        total.busy_slot_time += counts.busy_slot_time;
        total.open_slot_time += counts.open_slot_time;
        for (auto const& [bound, each] : counts.bounds)
        {
            total.bounds[bound].counted += each.counted;
            total.bounds[bound].within += each.within;
        }
    }
}

quarter_totals difference(quarter_totals const& later,
                          quarter_totals const& earlier)
{
    quarter_totals result = later;
    for (auto const& [application, counts] : earlier)
        subtract(result[application], counts);
    return result;
}

} // namespace mulberry
