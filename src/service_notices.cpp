// Handling of workers' announcements (shutdown and backoff); see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// If all workers are in backoff or have reached their limits, a request waits
/// only if the first of them accepts requests again within this time; otherwise
/// the request is rejected with a Retry-After.
constexpr milliseconds max_pause_wait{250};
/// Retry-After of a request that no worker can serve through this VM. Another
/// VM may be able to, so callers should retry at once, spread over this time.
constexpr milliseconds unservable_retry_after{50};

} // namespace

/// The registry may list a worker that shuts down as ready for seconds more, or
/// never as draining, and requests would be sent to it until it is gone.
/// Therefore the worker's own announcement counts for its incarnation, whatever
/// the registry lists later.
bool service_scheduler::on_leaving(backend_entry const& entry, time_point now)
{
    notices_.record_departure(entry.id, entry.started, now);
    worker_state* const known = find(entry.id);
    if (known == nullptr || known->entry.draining ||
        !notices_.is_leaving(entry.id, known->entry.started))
        return false;
    known->entry.draining = true;
    return true;
}

bool service_scheduler::is_paused(worker_state const& worker,
                                  time_point now) const
{
    return notices_.is_paused(worker.entry.id, now);
}

/// A backoff requested from this VM holds for this VM's requests only. Other
/// VMs exclude the workers that requested a backoff from them.
bool service_scheduler::is_paused_for(worker_state const& worker,
                                      work_item const& item,
                                      time_point now) const
{
    return !item.requested_worker && is_paused(worker, now);
}

bool service_scheduler::is_available(worker_state const& worker,
                                     time_point now) const
{
    return !worker.entry.draining && !is_paused(worker, now);
}

void service_scheduler::on_path_changed(time_point now)
{
    for (auto const& [id, worker] : workers_)
        worker->health.on_reached(now);
}

bool service_scheduler::is_open(worker_id const& worker, time_point now) const
{
    auto const known = workers_.find(worker);
    return known != workers_.end() && is_available(*known->second, now);
}

bool service_scheduler::has_model(
    worker_state const& worker, std::optional<model_target> const& target) const
{
    if (!target)
        return true;
    if (worker.owned && worker.adapters.is_state_known())
        return worker.adapters.has_model(target->model);
    return std::any_of(worker.entry.models.begin(), worker.entry.models.end(),
                       [&target](held_model const& held)
                       { return held.model == target->model; });
}

std::optional<worker_pause> service_scheduler::all_paused(work_item const& item,
                                                          time_point now) const
{
    std::optional<worker_pause> first;
    for (auto const& [id, worker] : workers_)
    {
        if (worker->entry.draining || is_excluded(*worker, item) ||
            !has_model(*worker, item.target) ||
            (worker->health.is_avoided(now) && !worker->health.may_probe(now)))
            continue;
        worker_pause const pause = notices_.pause_of(id);
        if (pause.until <= now)
            return std::nullopt;
        if (!first)
        {
            first = pause;
            continue;
        }
        first->until = std::min(first->until, pause.until);
        if (pause.retry_at < first->retry_at)
        {
            first->retry_at = pause.retry_at;
            first->by_limit = pause.by_limit;
        }
    }
    return first;
}

service_scheduler::decision
service_scheduler::wait_for_pause_end(waiting_item& waiting,
                                      worker_pause const& pause, time_point now)
{
    stop_waiting_for_load(waiting);
    // Other requests may take what a limit allows next, so the wait counts from
    // the arrival. A request that was sent before must wait: it may have run.
    bool const is_first_send = waiting.item.excluded.empty();
    time_point const from =
        pause.by_limit && is_first_send ? waiting.item.arrived_at : now;
    if (pause.until > from + duration(max_pause_wait))
        return decision::unservable;
    waiting.review_at = pause.until;
    return decision::waits;
}

std::optional<worker_pause>
service_scheduler::service_pause(std::optional<model_target> const& target,
                                 time_point now) const
{
    work_item any;
    any.target = target;
    return all_paused(any, now);
}

duration
service_scheduler::remaining_pause(std::optional<model_target> const& target,
                                   time_point now) const
{
    auto const pause = service_pause(target, now);
    return pause ? pause->retry_at - now : duration(0);
}

void service_scheduler::reject_unservable(waiting_item const& waiting,
                                          time_point now)
{
    auto const pause = service_pause(waiting.item.target, now);
    if (pause && (pause->by_limit ||
                  pause->retry_at - now > duration(unservable_retry_after)))
        return reject(waiting, error_kind::overloaded, pause->retry_at - now,
                      pause->by_limit ? "all workers have reached their limits"
                                      : "all workers want rest");
    reject(waiting, error_kind::back_end_unavailable, unservable_retry_after,
           "no worker can serve it here");
}

} // namespace mulberry
