#include "dispatch_meter.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// The newest service time has a weight of 1/8 in the moving average, which
/// thereby covers about ten requests.
constexpr int service_time_smoothing = 8;
/// The maximum number of changes kept while no report discards older ones.
constexpr std::size_t max_history_size = 4096;

} // namespace

dispatch_counts& dispatch_counts::operator+=(dispatch_counts const& more)
{
    finished += more.finished;
    failed += more.failed;
    withdrawn += more.withdrawn;
    stalled += more.stalled;
    stall_time += more.stall_time;
    busy_slot_time += more.busy_slot_time;
    open_slot_time += more.open_slot_time;
    loads += more.loads;
    failed_loads += more.failed_loads;
    evictions += more.evictions;
    resumes += more.resumes;
    return *this;
}

dispatch_meter::dispatch_meter(std::size_t batch_slots, time_point now)
    : batch_slots_(std::max<std::size_t>(batch_slots, 1)), accounted_to_(now)
{
    history_.emplace_back(now, 0);
}

dispatch_counts dispatch_meter::totals_at(std::size_t running,
                                          std::size_t queued,
                                          time_point now) const
{
    dispatch_counts counted = totals;
    if (now <= accounted_to_ || running + queued == 0)
        return counted;
    duration const passed = now - accounted_to_;
    counted.busy_slot_time += passed * static_cast<duration::rep>(running);
    counted.open_slot_time += passed * static_cast<duration::rep>(batch_slots_);
    return counted;
}

void dispatch_meter::advance(std::size_t running, std::size_t queued,
                             time_point now)
{
    totals = totals_at(running, queued, now);
    if (now > accounted_to_)
        usage.advance(now - accounted_to_, batch_slots_);
    accounted_to_ = std::max(accounted_to_, now);
}

void dispatch_meter::record_running(std::size_t running, time_point now)
{
    if (history_.back().second == running)
        return;
    history_.emplace_back(now, running);
    if (history_.size() > max_history_size)
        history_.pop_front();
}

std::size_t dispatch_meter::max_running(time_point since)
{
    while (history_.size() > 1 && history_[1].first <= since)
        history_.pop_front();
    std::size_t most = 0;
    for (auto const& [at, running] : history_)
        most = std::max(most, running);
    return most;
}

void dispatch_meter::add_service_time(duration time)
{
    service_time_ = service_time_ ? *service_time_ + (time - *service_time_) /
                                                         service_time_smoothing
                                  : time;
}

std::optional<duration> dispatch_meter::time_to_serve(std::size_t ahead) const
{
    if (!service_time_)
        return std::nullopt;
    return *service_time_ * static_cast<duration::rep>(ahead) /
           static_cast<duration::rep>(batch_slots_);
}

} // namespace mulberry
