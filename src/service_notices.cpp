// What follows from what workers say of themselves: that they leave, or want
// rest; see service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Where all workers rest, a caller is told to come back unless the first of
/// them takes requests again within this.
constexpr milliseconds longest_rest_wait{250};
/// Where a request cannot be served here at all, another VM may: the caller is
/// told to come back at once, spread over this span.
constexpr milliseconds elsewhere_retry{50};

} // namespace

/// Failure: a worker that leaves is listed as ready for seconds more, or never
/// as leaving, and requests go on to it until it is gone. Its own word counts
/// for this life, whatever is listed later.
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

bool service_scheduler::rests(worker_state const& worker, time_point now) const
{
    return notices_.in_backoff(worker.entry.id, now);
}

/// A rest holds for this VM's requests; a VM that asks names the workers that
/// asked it.
bool service_scheduler::rests_for(worker_state const& worker,
                                  work_item const& item, time_point now) const
{
    return !item.asked_for && rests(worker, now);
}

/// Whether orders and requests of this VM may go there.
bool service_scheduler::accepts(worker_state const& worker,
                                time_point now) const
{
    return !worker.entry.draining && !rests(worker, now);
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

/// When the first of the workers that the request may go to is over its rest;
/// nothing unless all of them rest.
std::optional<time_point>
service_scheduler::all_rest_until(work_item const& item, time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, worker] : workers_)
    {
        if (worker->entry.draining || item.excluded.count(id) > 0 ||
            !has_model(*worker, item.target) ||
            (worker->health.is_avoided(now) && !worker->health.may_probe(now)))
            continue;
        if (!rests(*worker, now))
            return std::nullopt;
        time_point const until = notices_.backoff_until(id);
        first = std::min(first.value_or(until), until);
    }
    return first;
}

service_scheduler::verdict
service_scheduler::wait_for_rest(waiting_item& waiting, time_point until,
                                 time_point now)
{
    leave_wait(waiting);
    if (until > now + duration(longest_rest_wait))
        return verdict::hopeless;
    waiting.review_at = until;
    return verdict::waits;
}

duration service_scheduler::rest_left(std::optional<model_target> const& target,
                                      time_point now) const
{
    work_item any;
    any.target = target;
    std::optional<time_point> const until = all_rest_until(any, now);
    return until ? *until - now : duration(0);
}

void service_scheduler::refuse_hopeless(waiting_item const& waiting,
                                        time_point now)
{
    duration const left = rest_left(waiting.item.target, now);
    if (left > duration(elsewhere_retry))
        return refuse(waiting, error_kind::overloaded, left,
                      "all workers want rest", now);
    refuse(waiting, error_kind::back_end_unavailable, elsewhere_retry,
           "no worker can serve it here", now);
}

} // namespace mulberry
