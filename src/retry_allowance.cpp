#include "retry_allowance.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr int slices_per_window = 20;
/// Fractions of the limit that a process uses when it is at least a window old,
/// and before. Together they stay below one, since two processes of a VM may
/// use them in the same window. The rest covers VMs that the others do not
/// count yet.
constexpr double steady_fraction = 0.75;
constexpr double young_fraction = 0.15;

/// How long a VM that is not known any more keeps its share of the slack.
/// Longer than a VM stays frozen or cut off from the store while it serves.
constexpr std::chrono::minutes lost_vm_share_time{5};

} // namespace

void retry_allowance::update_sharing_vms(time_point now)
{
    if (known_vms_ >= sharing_vms_)
    {
        sharing_vms_ = known_vms_;
        fewer_at_ = never;
        return;
    }
    if (now >= fewer_at_)
    {
        sharing_vms_ = std::max(fewer_vms_, known_vms_);
        fewer_at_ = never;
    }
    if (known_vms_ < sharing_vms_ && fewer_at_ == never)
    {
        fewer_at_ = now + lost_vm_share_time;
        fewer_vms_ = known_vms_;
    }
    fewer_vms_ = std::max(fewer_vms_, known_vms_);
}

void retry_allowance::set_vms(std::size_t vms, time_point now)
{
    known_vms_ = std::max<std::size_t>(vms, 1);
    update_sharing_vms(now);
}

retry_allowance::slice& retry_allowance::current_slice(time_point now)
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
    current_slice(now).requests += 1;
}

retry_usage retry_allowance::usage(time_point now)
{
    expire(now);
    update_sharing_vms(now);
    retry_usage usage;
    usage.retries = reserved_;
    for (slice const& each : slices_)
    {
        usage.requests += each.requests;
        usage.retries += each.retries;
    }
    usage.vms = sharing_vms_;
    double const share = limits_.slack / double(sharing_vms_);
    double const age =
        std::chrono::duration<double>(now - started_at_) / limits_.window;
    double const fraction = age < 1 ? young_fraction : steady_fraction;
    usage.allowed = fraction * (limits_.ratio * usage.requests +
                                share * std::clamp(age, 0.0, 1.0));
    return usage;
}

double retry_allowance::remaining(time_point now)
{
    retry_usage const current = usage(now);
    return current.allowed - current.retries;
}

bool retry_allowance::try_reserve(time_point now)
{
    if (remaining(now) < 1)
        return false;
    ++reserved_;
    return true;
}

void retry_allowance::on_sent(time_point now)
{
    --reserved_;
    ++current_slice(now).retries;
}

void retry_allowance::on_not_sent(time_point sent_at, time_point now)
{
    expire(now);
    ++reserved_;
    auto const counted = std::find_if(slices_.begin(), slices_.end(),
                                      [sent_at](slice const& each)
                                      { return each.ends > sent_at; });
    if (counted != slices_.end() && counted->retries > 0)
        --counted->retries;
}

} // namespace mulberry
