#include "dispatch_core.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Retry-After before a service time was measured.
constexpr duration default_retry_after = std::chrono::seconds(1);
constexpr duration min_retry_after = std::chrono::milliseconds(50);
/// How long a request that the engine refused as busy is held in the queue
/// before it is sent again.
constexpr duration busy_delay = std::chrono::milliseconds(50);
/// Consecutive connection failures after which all queued requests are answered
/// with an error.
constexpr int max_connect_failures = 2;

} // namespace

void dispatch_core::account(time_point now)
{
    meter_.advance(streams_.size(), queue_.size(), now);
}

void dispatch_core::dispatch_waiting(time_point now, action_list& actions)
{
    if (!stopped_ && !backing_off(now))
    {
        send_ready(now, actions);
        loader_.plan({queue_, view_without_residents(now), cluster_, now},
                     actions);
    }
    update_stalls(now);
    meter_.record_running(streams_.size(), now);
}

std::size_t dispatch_core::free_batch_slots() const
{
    std::size_t const taken = streams_.size() + foreign_requests_;
    return worker_.batch_slots > taken ? worker_.batch_slots - taken : 0;
}

void dispatch_core::send_ready(time_point now, action_list& actions)
{
    auto const can_go = [&](queued_request const& item) {
        return item.not_before <= now && loader_.sendable(item.request.adapter);
    };
    while (free_batch_slots() > 0 && queue_.size() > 0)
    {
        std::vector<waiting_request> const eligible = queue_.select(can_go);
        if (eligible.empty())
            return;
        auto const next = policy_->choose_next(view(now), eligible, now);
        if (!next)
            return;
        queued_request item = *queue_.extract(eligible[*next].id);
        on_left_queue(item, now);
        engine_name const name = *loader_.sendable(item.request.adapter);
        loader_.slots().add_request(name, now);
        meter_.usage.started(item.request.application);
        streams_.send(std::move(item), name, now, actions);
    }
}

void dispatch_core::update_stalls(time_point now)
{
    std::set<adapter_ref> stalled;
    for (auto const& [adapter, sequences] : queue_.adapters())
    {
        bool const was_stalled = stalled_adapters_.contains(adapter);
        bool const is_stalled = !loader_.slots().ready_name(adapter);
        if (is_stalled)
            stalled.insert(adapter);
        if (was_stalled == is_stalled)
            continue;
        queue_.for_each(adapter,
                        [&](queued_request& item)
                        {
                            if (!is_stalled)
                                close_stall(item, now);
                            else if (!item.stalled_since)
                                item.stalled_since = now;
                        });
    }
    stalled_adapters_ = std::move(stalled);
}

void dispatch_core::close_stall(queued_request& item, time_point now)
{
    if (!item.stalled_since)
        return;
    meter_.totals.stall_time += now - *item.stalled_since;
    item.stalled_since.reset();
    if (!item.stall_counted)
    {
        ++meter_.totals.stalled;
        meter_.usage.stalled(item.request.application);
    }
    item.stall_counted = true;
}

void dispatch_core::on_left_queue(queued_request& item, time_point now)
{
    close_stall(item, now);
    meter_.usage.left_queue(item.request.application);
}

void dispatch_core::on_left_engine(ended_stream const& ended, time_point now)
{
    loader_.slots().end_request(ended.name, !ended.may_run, now);
    meter_.usage.ended(ended.item.request.application);
}

std::optional<duration>
dispatch_core::expected_wait(model_request const& request) const
{
    std::size_t const ahead = queue_.ahead_of(request.priority);
    std::size_t const free = free_batch_slots();
    if (ahead < free)
        return duration::zero();
    return meter_.time_to_serve(ahead - free + 1);
}

duration dispatch_core::retry_after(std::size_t ahead) const
{
    auto const wait = meter_.time_to_serve(ahead);
    return wait ? std::max(*wait, min_retry_after) : default_retry_after;
}

std::optional<error>
dispatch_core::admission_error(model_request const& request,
                               time_point now) const
{
    if (request.deadline <= now)
        return error(error_kind::deadline_passed,
                     "the deadline had passed on arrival", ran::no);
    if (!checks_->takes_new_work({.leaving = stopped_}))
        return error(error_kind::not_owner,
                     "this VM is giving up ownership of the worker", ran::no);
    if (backing_off(now) &&
        consecutive_connect_failures_ >= max_connect_failures)
        return error(error_kind::back_end_unavailable,
                     "the worker cannot be reached", ran::no,
                     backoff_until_ - now);
    if (auto const wait = loader_.load_retry_after(request.adapter, now))
        return error(error_kind::load_failed,
                     "the adapter cannot be loaded here now", ran::no, *wait);
    // A request whose turn would come too late is refused now, since near its
    // deadline no other worker could serve it any more. For a request that must
    // wait, the service time of its own answer counts too: sent just before its
    // deadline, the request would take a batch slot and be cut off there.
    // Retry-After covers only the wait for the queue, which is over sooner.
    auto const wait = expected_wait(request);
    duration needed = wait.value_or(duration::zero());
    if (needed > duration::zero())
        needed += meter_.service_time().value_or(duration::zero());
    if (wait && request.deadline - now < needed)
        return error(error_kind::overloaded,
                     "the queue is too long for the request's deadline",
                     ran::no, std::max(*wait, min_retry_after));
    return std::nullopt;
}

void dispatch_core::submit(model_request request, time_point now,
                           action_list& actions)
{
    account(now);
    if (auto const refused = admission_error(request, now))
        return answer(request.id, *refused, actions);
    if (!make_queue_room(request, now, actions))
        return answer(request.id,
                      error(error_kind::overloaded, "the queue is full",
                            ran::no, retry_after(queue_.size())),
                      actions);
    queued_request item;
    item.request = std::move(request);
    enqueue(std::move(item), now);
    dispatch_waiting(now, actions);
}

bool dispatch_core::make_queue_room(model_request const& request,
                                    time_point now, action_list& actions)
{
    if (queue_.size() < limits_.max_queue)
        return true;
    queued_request const* displaceable = queue_.lowest_priority();
    if (!displaceable || displaceable->request.priority >= request.priority)
        return false;
    request_id const displaced = displaceable->request.id;
    answer_waiting(
        displaced,
        error(error_kind::overloaded,
              "displaced from the full queue by a request of higher priority",
              ran::no, retry_after(queue_.size())),
        now, actions);
    return true;
}

void dispatch_core::enqueue(queued_request item, time_point now)
{
    adapter_ref const adapter = item.request.adapter;
    item.stalled_since.reset();
    if (!loader_.slots().ready_name(adapter))
    {
        item.stalled_since = now;
        stalled_adapters_.insert(adapter);
    }
    meter_.usage.queued(item.request.application);
    queue_.add(std::move(item));
}

void dispatch_core::withdraw(request_id const& id, time_point now,
                             action_list& actions)
{
    account(now);
    if (auto item = queue_.extract(id))
    {
        ++meter_.totals.withdrawn;
        on_left_queue(*item, now);
    }
    else if (auto ended = streams_.cancel(id, actions))
    {
        ++meter_.totals.withdrawn;
        on_left_engine(*ended, now);
    }
    dispatch_waiting(now, actions);
}

void dispatch_core::on_chunk(attempt_chunk const& event, time_point now,
                             action_list& actions)
{
    if (auto ended = streams_.on_chunk(event, now, actions))
    {
        account(now);
        on_stream_ended(std::move(*ended), now, actions);
        dispatch_waiting(now, actions);
    }
}

void dispatch_core::on_end(attempt_end const& event, time_point now,
                           action_list& actions)
{
    account(now);
    if (auto ended = streams_.on_end(event, now, actions))
        on_stream_ended(std::move(*ended), now, actions);
    dispatch_waiting(now, actions);
}

void dispatch_core::on_failure(attempt_failure const& event, time_point now,
                               action_list& actions)
{
    account(now);
    if (auto ended = streams_.on_failure(event, now, actions))
        on_stream_ended(std::move(*ended), now, actions);
    dispatch_waiting(now, actions);
}

void dispatch_core::on_stream_ended(ended_stream ended, time_point now,
                                    action_list& actions)
{
    on_left_engine(ended, now);
    request_id const id = ended.item.request.id;
    ran const seen = ended.begun ? ran::yes : ran::unknown;
    if (ended.reason != stream_end::unreachable)
        consecutive_connect_failures_ = 0;
    switch (ended.reason)
    {
    case stream_end::complete:
        ++meter_.totals.finished;
        meter_.add_service_time(now - ended.sent_at);
        actions.push_back(deliver_end{id});
        return;
    case stream_end::cut:
        return answer(id, error(error_kind::answer_cut, ended.text, seen),
                      actions);
    case stream_end::wrong_adapter:
        return answer(id, error(error_kind::answer_cut, ended.text, ran::yes),
                      actions);
    case stream_end::cancelled:
        return answer(
            id,
            error(error_kind::deadline_passed,
                  "the deadline passed before the answer was complete", seen),
            actions);
    case stream_end::forgotten:
        // Nothing was delivered and the engine does not know the request, so
        // the caller still gets exactly one complete answer if it is sent
        // again.
        if (ended.item.requeues >= limits_.max_resumes || stopped_)
            return answer(
                id, error(error_kind::answer_cut, ended.text, ran::unknown),
                actions);
        ended.item.may_run_twice = true;
        return requeue(std::move(ended), duration::zero(), now, actions);
    case stream_end::not_loaded:
    case stream_end::old_fence:
    case stream_end::busy:
    case stream_end::refused:
    case stream_end::unreachable:
        return on_stream_not_run(std::move(ended), now, actions);
    }
}

void dispatch_core::on_stream_not_run(ended_stream ended, time_point now,
                                      action_list& actions)
{
    request_id const id = ended.item.request.id;
    // After an earlier attempt that may have run, ran::no would be untrue.
    ran const request_ran = ended.item.may_run_twice ? ran::unknown : ran::no;
    switch (ended.reason)
    {
    case stream_end::not_loaded:
    {
        loaded_adapter const* item = loader_.slots().find(ended.name);
        if (item && item->state == slot_state::ready)
            loader_.slots().remove(ended.name, now);
        return requeue(std::move(ended), duration::zero(), now, actions);
    }
    case stream_end::busy:
        return requeue(std::move(ended), busy_delay, now, actions);
    case stream_end::old_fence:
        answer(id,
               error(error_kind::not_owner, "the worker has a later owner",
                     request_ran),
               actions);
        return stop_admitting(now, actions);
    case stream_end::unreachable:
        answer(id,
               error(error_kind::back_end_unavailable, ended.text, request_ran,
                     limits_.load_backoff),
               actions);
        return on_unreachable(ended, now, actions);
    default:
        return answer(
            id, error(error_kind::back_end_refused, ended.text, request_ran),
            actions);
    }
}

void dispatch_core::requeue(ended_stream ended, duration delay, time_point now,
                            action_list& actions)
{
    queued_request item = std::move(ended.item);
    request_id const id = item.request.id;
    ran const request_ran = item.may_run_twice ? ran::unknown : ran::no;
    if (stopped_)
        return answer(id,
                      error(error_kind::not_owner,
                            "this VM is giving up ownership of the worker",
                            request_ran),
                      actions);
    if (++item.requeues > limits_.max_resumes)
        return answer(id,
                      error(error_kind::overloaded,
                            "the engine refused the request too often",
                            request_ran, limits_.load_backoff),
                      actions);
    item.not_before = now + delay;
    enqueue(std::move(item), now);
}

void dispatch_core::on_unreachable(ended_stream const& ended, time_point now,
                                   action_list& actions)
{
    ++consecutive_connect_failures_;
    backoff_until_ = now + limits_.load_backoff;
    if (consecutive_connect_failures_ >= max_connect_failures)
        answer_all_waiting(error(error_kind::back_end_unavailable, ended.text,
                                 ran::no, limits_.load_backoff),
                           now, actions);
}

void dispatch_core::answer(request_id const& id, error what,
                           action_list& actions)
{
    ++meter_.totals.failed;
    actions.push_back(deliver_error{id, std::move(what)});
}

void dispatch_core::answer_waiting(request_id const& id, error const& what,
                                   time_point now, action_list& actions)
{
    auto item = queue_.extract(id);
    if (!item)
        return;
    on_left_queue(*item, now);
    ran const request_ran =
        item->may_run_twice ? ran::unknown : what.request_ran();
    answer(id, error(what.kind(), what.text(), request_ran, what.retry_after()),
           actions);
}

void dispatch_core::answer_waiting_for(adapter_ref const& adapter,
                                       time_point now, action_list& actions)
{
    error const failed(error_kind::load_failed,
                       "the adapter could not be loaded", ran::no,
                       limits_.load_backoff);
    for (request_id const& id : queue_.ids_waiting_for(adapter))
        answer_waiting(id, failed, now, actions);
}

void dispatch_core::answer_unloadable(time_point now, action_list& actions)
{
    if (!loader_.loads_blocked())
        return;
    std::vector<adapter_ref> unloadable;
    for (auto const& [adapter, sequences] : queue_.adapters())
        if (loader_.load_retry_after(adapter, now))
            unloadable.push_back(adapter);
    for (adapter_ref const& adapter : unloadable)
        answer_waiting_for(adapter, now, actions);
}

void dispatch_core::answer_all_waiting(error const& what, time_point now,
                                       action_list& actions)
{
    for (request_id const& id : queue_.all_ids())
        answer_waiting(id, what, now, actions);
}

void dispatch_core::on_load_changes(load_changes const& changes, time_point now,
                                    action_list& actions)
{
    for (adapter_ref const& adapter : changes.failed)
        if (!loader_.slots().ready_name(adapter))
            answer_waiting_for(adapter, now, actions);
    if (changes.old_fence)
        stop_admitting(now, actions);
}

void dispatch_core::on_order(order_result const& event, time_point now,
                             action_list& actions)
{
    account(now);
    on_load_changes(loader_.on_order(event, now, actions), now, actions);
    dispatch_waiting(now, actions);
}

void dispatch_core::on_intent(order_id order, bool recorded, time_point now,
                              action_list& actions)
{
    account(now);
    loader_.on_intent(order, recorded, queue_, now, actions);
    dispatch_waiting(now, actions);
}

void dispatch_core::on_report(engine_report const& report, time_point now,
                              action_list& actions)
{
    account(now);
    loader_.on_report(report, now, actions);
    // The report may show any moment since as_of. Requests that this owner had
    // running at any time since then are not counted as foreign.
    std::size_t const shown = report.running + report.waiting;
    std::size_t const own = meter_.max_running(report.as_of);
    foreign_requests_ = shown > own ? shown - own : 0;
    dispatch_waiting(now, actions);
}

void dispatch_core::suspects_stopped(time_point stopped_at)
{
    loader_.slots().suspects_stopped(stopped_at);
}

void dispatch_core::stop_admitting(time_point now, action_list& actions)
{
    account(now);
    stopped_ = true;
    loader_.stop();
    answer_all_waiting(error(error_kind::not_owner,
                             "this VM is giving up ownership of the worker",
                             ran::no),
                       now, actions);
}

void dispatch_core::tick(time_point now, action_list& actions)
{
    account(now);
    while (auto late = queue_.extract_expired(now))
    {
        on_left_queue(*late, now);
        answer(late->request.id,
               error(error_kind::deadline_passed,
                     "the deadline passed while the request was queued",
                     late->may_run_twice ? ran::unknown : ran::no),
               actions);
    }
    for (ended_stream& ended : streams_.tick(now, actions))
        on_stream_ended(std::move(ended), now, actions);
    on_load_changes(loader_.tick(now, actions), now, actions);
    answer_unloadable(now, actions);
    dispatch_waiting(now, actions);
}

worker_view dispatch_core::view_without_residents(time_point now) const
{
    worker_view shown;
    shown.id = worker_.id;
    shown.base_model = worker_.base_model;
    shown.domain = worker_.domain;
    shown.usable = !stopped_ && !backing_off(now);
    shown.batch_slots = worker_.batch_slots;
    shown.adapter_slots = worker_.adapter_slots;
    shown.running = streams_.size() + foreign_requests_;
    shown.queued = queue_.size();
    shown.as_of = now;
    return shown;
}

worker_view dispatch_core::view(time_point now) const
{
    worker_view shown = view_without_residents(now);
    shown.residents = loader_.residents(queue_, now);
    return shown;
}

dispatch_counts dispatch_core::counts(time_point now) const
{
    dispatch_counts totals =
        meter_.totals_at(streams_.size(), queue_.size(), now);
    totals.resumes = streams_.resumes();
    return totals;
}

usage_by_application dispatch_core::take_usage(time_point now)
{
    account(now);
    return meter_.usage.take();
}

} // namespace mulberry
