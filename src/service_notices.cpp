// Handling of workers' announcements (shutdown and backoff); see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// If all workers are in backoff, a request waits only if the first of them
/// accepts requests again within this time; otherwise the request is rejected
/// with a Retry-After.
constexpr milliseconds max_backoff_wait{250};
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

bool service_scheduler::in_backoff(worker_state const& worker,
                                   time_point now) const
{
    return notices_.in_backoff(worker.entry.id, now);
}

/// A backoff requested from this VM holds for this VM's requests only. Other
/// VMs exclude the workers that requested a backoff from them.
bool service_scheduler::in_backoff_for(worker_state const& worker,
                                       work_item const& item,
                                       time_point now) const
{
    return !item.requested_worker && in_backoff(worker, now);
}

bool service_scheduler::is_available(worker_state const& worker,
                                     time_point now) const
{
    return !worker.entry.draining && !in_backoff(worker, now);
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

std::optional<time_point>
service_scheduler::all_in_backoff_until(work_item const& item,
                                        time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, worker] : workers_)
    {
        if (worker->entry.draining || item.excluded.count(id) > 0 ||
            !has_model(*worker, item.target) ||
            (worker->health.is_avoided(now) && !worker->health.may_probe(now)))
            continue;
        if (!in_backoff(*worker, now))
            return std::nullopt;
        time_point const until = notices_.backoff_until(id);
        first = std::min(first.value_or(until), until);
    }
    return first;
}

service_scheduler::decision
service_scheduler::wait_for_backoff(waiting_item& waiting, time_point until,
                                    time_point now)
{
    stop_waiting_for_load(waiting);
    if (until > now + duration(max_backoff_wait))
        return decision::unservable;
    waiting.review_at = until;
    return decision::waits;
}

duration
service_scheduler::remaining_backoff(std::optional<model_target> const& target,
                                     time_point now) const
{
    work_item any;
    any.target = target;
    std::optional<time_point> const until = all_in_backoff_until(any, now);
    return until ? *until - now : duration(0);
}

void service_scheduler::reject_unservable(waiting_item const& waiting,
                                          time_point now)
{
    duration const left = remaining_backoff(waiting.item.target, now);
    if (left > duration(unservable_retry_after))
        return reject(waiting, error_kind::overloaded, left,
                      "all workers want rest", now);
    reject(waiting, error_kind::back_end_unavailable, unservable_retry_after,
           "no worker can serve it here", now);
}

} // namespace mulberry
