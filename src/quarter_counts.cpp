#include "quarter_counts.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

std::uint64_t beyond(std::uint64_t later, std::uint64_t earlier)
{
    return later - std::min(later, earlier);
}

duration beyond(duration later, duration earlier)
{
    return later - std::min(later, earlier);
}

void reduce(quarter_counts& from, quarter_counts const& by)
{
    from.requests = beyond(from.requests, by.requests);
    from.stalled = beyond(from.stalled, by.stalled);
    from.busy_slot_time = beyond(from.busy_slot_time, by.busy_slot_time);
    from.open_slot_time = beyond(from.open_slot_time, by.open_slot_time);
    for (auto const& [bound, counts] : by.bounds)
    {
        bound_counts& left = from.bounds[bound];
        left.counted = beyond(left.counted, counts.counted);
        left.within = beyond(left.within, counts.within);
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
        reduce(result[application], counts);
    return result;
}

} // namespace mulberry
