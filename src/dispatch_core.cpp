#include "dispatch_core.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Told as Retry-After before any service time was measured.
constexpr duration unmeasured_retry = std::chrono::seconds(1);
constexpr duration least_retry = std::chrono::milliseconds(50);
/// How long a request that the engine refused as busy waits in the queue.
constexpr duration busy_delay = std::chrono::milliseconds(50);
/// Connections that failed in a row before the whole queue is given up.
constexpr int unreachable_limit = 2;

} // namespace

void dispatch_core::account(time_point now)
{
    meter_.advance(streams_.size(), queue_.size(), now);
}

void dispatch_core::proceed(time_point now, action_list& actions)
{
    if (!stopped_ && !left_alone(now))
    {
        send_ready(now, actions);
        loader_.plan({queue_, bare_view(now), cluster_, now}, actions);
    }
    follow_stalls(now);
    meter_.note_running(streams_.size(), now);
}

std::size_t dispatch_core::room() const
{
    std::size_t const taken = streams_.size() + foreign_;
    return worker_.batch_slots > taken ? worker_.batch_slots - taken : 0;
}

void dispatch_core::send_ready(time_point now, action_list& actions)
{
    auto const can_go = [&](queued_request const& item) {
        return item.not_before <= now && loader_.sendable(item.request.adapter);
    };
    while (room() > 0 && queue_.size() > 0)
    {
        std::vector<waiting_request> const eligible = queue_.select(can_go);
        if (eligible.empty())
            return;
        auto const next = policy_->choose_next(view(now), eligible, now);
        if (!next)
            return;
        queued_request item = *queue_.take(eligible[*next].id);
        left_queue(item, now);
        engine_name const name = *loader_.sendable(item.request.adapter);
        loader_.slots().add_request(name, now);
        meter_.usage.started(item.request.application);
        streams_.send(std::move(item), name, now, actions);
    }
}

void dispatch_core::follow_stalls(time_point now)
{
    std::set<adapter_ref> stalled;
    for (auto const& [adapter, places] : queue_.adapters())
    {
        bool const was = stalled_adapters_.contains(adapter);
        bool const is = !loader_.slots().usable(adapter);
        if (is)
            stalled.insert(adapter);
        if (was == is)
            continue;
        queue_.for_each(adapter,
                        [&](queued_request& item)
                        {
                            if (!is)
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

void dispatch_core::left_queue(queued_request& item, time_point now)
{
    close_stall(item, now);
    meter_.usage.left_queue(item.request.application);
}

void dispatch_core::left_engine(ended_stream const& over, time_point now)
{
    loader_.slots().end_request(over.name, !over.may_run, now);
    meter_.usage.ended(over.item.request.application);
}

std::optional<duration>
dispatch_core::expected_wait(model_request const& request) const
{
    std::size_t const ahead = queue_.ahead_of(request.priority);
    std::size_t const free = room();
    if (ahead < free)
        return duration::zero();
    return meter_.time_to_serve(ahead - free + 1);
}

duration dispatch_core::retry_after(std::size_t ahead) const
{
    auto const wait = meter_.time_to_serve(ahead);
    return wait ? std::max(*wait, least_retry) : unmeasured_retry;
}

std::optional<error> dispatch_core::refusal(model_request const& request,
                                            time_point now) const
{
    if (request.deadline <= now)
        return error(error_kind::deadline_passed,
                     "the deadline was past on arrival", ran::no);
    if (!checks_->takes_new_work({.leaving = stopped_}))
        return error(error_kind::not_owner, "the worker is being given up",
                     ran::no);
    if (left_alone(now) && unreachable_in_row_ >= unreachable_limit)
        return error(error_kind::back_end_unavailable,
                     "the worker cannot be reached", ran::no,
                     left_alone_until_ - now);
    if (auto const wait = loader_.refused_for(request.adapter, now))
        return error(error_kind::load_failed,
                     "the adapter cannot be loaded here now", ran::no, *wait);
    // Kept although its turn comes too late, it would be answered only near
    // its deadline, when nobody else can serve it any more. One that waits
    // needs the time of its own answer too: sent just before its deadline it
    // takes a batch slot and is cut off there for nothing. The caller is told
    // to come back when the queue is served, which does not take that long.
    auto const wait = expected_wait(request);
    duration needed = wait.value_or(duration::zero());
    if (needed > duration::zero())
        needed += meter_.service_time().value_or(duration::zero());
    if (wait && request.deadline - now < needed)
        return error(error_kind::overloaded,
                     "its turn would come after its deadline", ran::no,
                     std::max(*wait, least_retry));
    return std::nullopt;
}

void dispatch_core::submit(model_request request, time_point now,
                           action_list& actions)
{
    account(now);
    if (auto const refused = refusal(request, now))
        return answer(request.id, *refused, actions);
    if (!make_place(request, now, actions))
        return answer(request.id,
                      error(error_kind::overloaded, "the queue is full",
                            ran::no, retry_after(queue_.size())),
                      actions);
    queued_request item;
    item.request = std::move(request);
    enqueue(std::move(item), now);
    proceed(now, actions);
}

bool dispatch_core::make_place(model_request const& request, time_point now,
                               action_list& actions)
{
    if (queue_.size() < limits_.max_queue)
        return true;
    queued_request const* least = queue_.least_wanted();
    if (!least || least->request.priority >= request.priority)
        return false;
    request_id const displaced = least->request.id;
    answer_waiting(displaced,
                   error(error_kind::overloaded,
                         "the queue is full of requests of more priority",
                         ran::no, retry_after(queue_.size())),
                   now, actions);
    return true;
}

void dispatch_core::enqueue(queued_request item, time_point now)
{
    adapter_ref const adapter = item.request.adapter;
    item.stalled_since.reset();
    if (!loader_.slots().usable(adapter))
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
    if (auto item = queue_.take(id))
    {
        ++meter_.totals.withdrawn;
        left_queue(*item, now);
    }
    else if (auto over = streams_.cancel(id, actions))
    {
        ++meter_.totals.withdrawn;
        left_engine(*over, now);
    }
    proceed(now, actions);
}

void dispatch_core::on_chunk(attempt_chunk const& event, time_point now,
                             action_list& actions)
{
    if (auto over = streams_.on_chunk(event, now, actions))
    {
        account(now);
        ended(std::move(*over), now, actions);
        proceed(now, actions);
    }
}

void dispatch_core::on_end(attempt_end const& event, time_point now,
                           action_list& actions)
{
    account(now);
    if (auto over = streams_.on_end(event, now, actions))
        ended(std::move(*over), now, actions);
    proceed(now, actions);
}

void dispatch_core::on_failure(attempt_failure const& event, time_point now,
                               action_list& actions)
{
    account(now);
    if (auto over = streams_.on_failure(event, now, actions))
        ended(std::move(*over), now, actions);
    proceed(now, actions);
}

void dispatch_core::ended(ended_stream over, time_point now,
                          action_list& actions)
{
    left_engine(over, now);
    request_id const id = over.item.request.id;
    ran const seen = over.begun ? ran::yes : ran::unknown;
    if (over.why != stream_end::unreachable)
        unreachable_in_row_ = 0;
    switch (over.why)
    {
    case stream_end::whole:
        ++meter_.totals.finished;
        meter_.add_service_time(now - over.sent_at);
        actions.push_back(deliver_end{id});
        return;
    case stream_end::cut:
        return answer(id, error(error_kind::answer_cut, over.text, seen),
                      actions);
    case stream_end::wrong_adapter:
        return answer(id, error(error_kind::answer_cut, over.text, ran::yes),
                      actions);
    case stream_end::cancelled:
        return answer(id,
                      error(error_kind::deadline_passed,
                            "the deadline passed while it ran", seen),
                      actions);
    case stream_end::forgotten:
        // Nothing was delivered and the engine does not run it: another start
        // gives the caller one whole answer.
        if (over.item.returns >= limits_.max_resumes || stopped_)
            return answer(
                id, error(error_kind::answer_cut, over.text, ran::unknown),
                actions);
        over.item.repeated = true;
        return requeue(std::move(over), duration::zero(), now, actions);
    case stream_end::not_loaded:
    case stream_end::old_fence:
    case stream_end::busy:
    case stream_end::refused:
    case stream_end::unreachable:
        return ended_not_run(std::move(over), now, actions);
    }
}

void dispatch_core::ended_not_run(ended_stream over, time_point now,
                                  action_list& actions)
{
    request_id const id = over.item.request.id;
    // An earlier start of it may have run: then "not run" would be untrue.
    ran const truth = over.item.repeated ? ran::unknown : ran::no;
    switch (over.why)
    {
    case stream_end::not_loaded:
    {
        loaded_adapter const* item = loader_.slots().find(over.name);
        if (item && item->state == slot_state::ready)
            loader_.slots().remove(over.name, now);
        return requeue(std::move(over), duration::zero(), now, actions);
    }
    case stream_end::busy:
        return requeue(std::move(over), busy_delay, now, actions);
    case stream_end::old_fence:
        answer(
            id,
            error(error_kind::not_owner, "the worker has a later owner", truth),
            actions);
        return stop_admitting(now, actions);
    case stream_end::unreachable:
        answer(id,
               error(error_kind::back_end_unavailable, over.text, truth,
                     limits_.load_backoff),
               actions);
        return unreachable(over, now, actions);
    default:
        return answer(id, error(error_kind::back_end_refused, over.text, truth),
                      actions);
    }
}

void dispatch_core::requeue(ended_stream over, duration delay, time_point now,
                            action_list& actions)
{
    queued_request item = std::move(over.item);
    request_id const id = item.request.id;
    ran const truth = item.repeated ? ran::unknown : ran::no;
    if (stopped_)
        return answer(
            id,
            error(error_kind::not_owner, "the worker is being given up", truth),
            actions);
    if (++item.returns > limits_.max_resumes)
        return answer(id,
                      error(error_kind::overloaded,
                            "the engine refused it again and again", truth,
                            limits_.load_backoff),
                      actions);
    item.not_before = now + delay;
    enqueue(std::move(item), now);
}

void dispatch_core::unreachable(ended_stream const& over, time_point now,
                                action_list& actions)
{
    ++unreachable_in_row_;
    left_alone_until_ = now + limits_.load_backoff;
    if (unreachable_in_row_ >= unreachable_limit)
        answer_all_waiting(error(error_kind::back_end_unavailable, over.text,
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
    auto item = queue_.take(id);
    if (!item)
        return;
    left_queue(*item, now);
    ran const truth = item->repeated ? ran::unknown : what.request_ran();
    answer(id, error(what.kind(), what.text(), truth, what.retry_after()),
           actions);
}

void dispatch_core::answer_waiting_for(adapter_ref const& adapter,
                                       time_point now, action_list& actions)
{
    error const failed(error_kind::load_failed,
                       "the adapter could not be loaded", ran::no,
                       limits_.load_backoff);
    for (request_id const& id : queue_.all_for(adapter))
        answer_waiting(id, failed, now, actions);
}

void dispatch_core::answer_without_room(time_point now, action_list& actions)
{
    if (!loader_.shut())
        return;
    std::vector<adapter_ref> without;
    for (auto const& [adapter, places] : queue_.adapters())
        if (loader_.refused_for(adapter, now))
            without.push_back(adapter);
    for (adapter_ref const& adapter : without)
        answer_waiting_for(adapter, now, actions);
}

void dispatch_core::answer_all_waiting(error const& what, time_point now,
                                       action_list& actions)
{
    for (request_id const& id : queue_.all())
        answer_waiting(id, what, now, actions);
}

void dispatch_core::hear(loader_news const& news, time_point now,
                         action_list& actions)
{
    for (adapter_ref const& adapter : news.failed)
        if (!loader_.slots().usable(adapter))
            answer_waiting_for(adapter, now, actions);
    if (news.old_fence)
        stop_admitting(now, actions);
}

void dispatch_core::on_order(order_result const& event, time_point now,
                             action_list& actions)
{
    account(now);
    hear(loader_.on_order(event, now, actions), now, actions);
    proceed(now, actions);
}

void dispatch_core::on_intent(order_id order, bool recorded, time_point now,
                              action_list& actions)
{
    account(now);
    loader_.on_intent(order, recorded, queue_, now, actions);
    proceed(now, actions);
}

void dispatch_core::on_report(engine_report const& report, time_point now,
                              action_list& actions)
{
    account(now);
    loader_.on_report(report, now, actions);
    // The report speaks of some moment since as_of; what ran for this owner at
    // any moment since then is not held against the room.
    std::size_t const shown = report.running + report.waiting;
    std::size_t const own = meter_.most_running(report.as_of);
    foreign_ = shown > own ? shown - own : 0;
    proceed(now, actions);
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
    answer_all_waiting(
        error(error_kind::not_owner, "the worker is being given up", ran::no),
        now, actions);
}

void dispatch_core::tick(time_point now, action_list& actions)
{
    account(now);
    while (auto late = queue_.take_late(now))
    {
        left_queue(*late, now);
        answer(late->request.id,
               error(error_kind::deadline_passed,
                     "the deadline passed in the queue",
                     late->repeated ? ran::unknown : ran::no),
               actions);
    }
    for (ended_stream& over : streams_.tick(now, actions))
        ended(std::move(over), now, actions);
    hear(loader_.tick(now, actions), now, actions);
    answer_without_room(now, actions);
    proceed(now, actions);
}

worker_view dispatch_core::bare_view(time_point now) const
{
    worker_view shown;
    shown.id = worker_.id;
    shown.base_model = worker_.base_model;
    shown.domain = worker_.domain;
    shown.usable = !stopped_ && !left_alone(now);
    shown.batch_slots = worker_.batch_slots;
    shown.adapter_slots = worker_.adapter_slots;
    shown.running = streams_.size() + foreign_;
    shown.queued = queue_.size();
    shown.as_of = now;
    return shown;
}

worker_view dispatch_core::view(time_point now) const
{
    worker_view shown = bare_view(now);
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
