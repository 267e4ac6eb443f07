#include "retry_allowance.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr int slices_per_window = 20;
/// Of the limit; the rest covers sends that arrive in the next window and VMs
/// that others do not know of yet.
constexpr double spent_share = 0.8;

} // namespace

retry_allowance::slice& retry_allowance::current(time_point now)
{
    expire(now);
    if (slices_.empty() || slices_.back().ends <= now)
        slices_.push_back({now + limits_.window / slices_per_window, 0, 0});
    return slices_.back();
}

void retry_allowance::expire(time_point now)
{
    while (!slices_.empty() && slices_.front().ends + limits_.window <= now)
        slices_.pop_front();
}

void retry_allowance::count_request(time_point now)
{
    current(now).requests += 1;
}

double retry_allowance::left(std::size_t vms, time_point now)
{
    expire(now);
    double requests = 0;
    double repeats = 0;
    for (slice const& each : slices_)
    {
        requests += each.requests;
        repeats += each.repeats;
    }
    double const share = limits_.slack / double(std::max<std::size_t>(vms, 1));
    return spent_share * (limits_.ratio * requests + share) - repeats;
}

bool retry_allowance::try_take(std::size_t vms, time_point now)
{
    if (left(vms, now) < 1)
        return false;
    current(now).repeats += 1;
    return true;
}

} // namespace mulberry
