#include "service_caller_implementation.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration retry_base = std::chrono::milliseconds(25);
constexpr duration retry_cap = std::chrono::milliseconds(500);

/// Returns whether the status says that the worker is temporarily unable to
/// serve.
bool is_unavailable_status(int status)
{
    return status == 502 || status == 503 || status == 504;
}

} // namespace

void service_caller::implementation::start_first_try(service_call& call,
                                                     time_point now,
                                                     action_list& actions)
{
    budget_.count_first_try();
    start_try(call, now, actions);
}

void service_caller::implementation::start_try(service_call& call,
                                               time_point now,
                                               action_list& actions)
{
    call.next_try_at = never;
    call.hedge_at = never;
    service_declaration const* const service =
        find_service(call.request.service);
    auto const worker = service == nullptr
                            ? std::nullopt
                            : picker_.pick(*service, call.tried_workers, now);
    if (!worker)
    {
        error const none(error_kind::back_end_unavailable,
                         "the service has no workers",
                         call.may_have_run ? ran::unknown : ran::no);
        if (call.repeatable)
            fail_call(call, none, actions);
        else
            finish_not_run(call, none, now, actions);
        return;
    }
    attempt_id const attempt = ids_.next_attempt();
    ++call.tries;
    call.attempted = true;
    call.tried_workers.insert(*worker);
    call.attempts.emplace(attempt, *worker);
    attempts_.emplace(attempt, call.request.id);
    picker_.started(call.request.service, *worker);
    if (call.repeatable && call.tries < settings_.max_tries)
        call.hedge_at = now + settings_.hedge_delay;
    actions.emplace_back(call_service{attempt, *worker, call.request});
}

bool service_caller::implementation::schedule_retry(service_call& call,
                                                    time_point now)
{
    if (call.tries >= settings_.max_tries || !budget_.try_take())
        return false;
    call.next_try_at = now + budget_.backoff(call.tries, retry_base, retry_cap);
    return true;
}

void service_caller::implementation::start_hedge(service_call& call,
                                                 time_point now,
                                                 action_list& actions)
{
    call.hedge_at = never;
    call.may_have_run = true;
    if (call.tries < settings_.max_tries && budget_.try_take())
        start_try(call, now, actions);
}

std::optional<service_caller::implementation::ended_attempt>
service_caller::implementation::remove_attempt(attempt_id attempt)
{
    auto const found = attempts_.find(attempt);
    if (found == attempts_.end())
        return std::nullopt;
    request_id const request = found->second;
    attempts_.erase(found);
    auto node = calls_.at(request).attempts.extract(attempt);
    return ended_attempt{request, std::move(node.mapped())};
}

void service_caller::implementation::cancel_attempts(service_call& call,
                                                     attempt_id failed_before,
                                                     time_point now,
                                                     action_list& actions)
{
    service_id const& service = call.request.service;
    for (auto const& [attempt, worker] : call.attempts)
    {
        attempts_.erase(attempt);
        if (attempt < failed_before)
            picker_.failed(service, worker, now);
        else
            picker_.canceled(service, worker);
        actions.emplace_back(
            cancel_attempt{attempt, worker_id(), call.request.id, false});
    }
    call.attempts.clear();
    call.hedge_at = never;
}

void service_caller::implementation::on_answer(
    service_attempt_answer const& event, time_point now, action_list& actions)
{
    auto const ended = remove_attempt(event.attempt);
    if (!ended)
        return;
    service_call& call = calls_.at(ended->request);
    if (is_unavailable_status(event.answer.status))
        picker_.failed(call.request.service, ended->worker, now);
    else
        picker_.succeeded(call.request.service, ended->worker);
    if (call.repeatable)
        cancel_attempts(call, event.attempt, now, actions);
    call.next_try_at = never;
    if (call.repeatable)
        deliver(call, event.answer, false, actions);
    else
        record_answer(call, event.answer, now, actions);
    release_or_schedule(call);
}

// Guards against an answer that reaches its caller before its outcome is
// recorded: a retry through another VM would find the claim open and would be
// told that the call is in progress.
void service_caller::implementation::record_answer(service_call& call,
                                                   service_answer const& answer,
                                                   time_point now,
                                                   action_list& actions)
{
    if (call.finished())
        log_event(call, "call-answered-late",
                  "stored for the caller's next try", actions);
    else
    {
        call.held_answer = answer;
        call.held_answer_deadline =
            std::min(now + settings_.max_record_wait, call.request.deadline);
    }
    claims_.record_outcome(call.request.id, claim_stage::answered, answer, now,
                           actions);
}

void service_caller::implementation::deliver_held_answer(service_call& call,
                                                         action_list& actions)
{
    call.held_answer_deadline = never;
    if (call.held_answer)
        deliver(call, *std::exchange(call.held_answer, std::nullopt), false,
                actions);
}

void service_caller::implementation::on_failure(attempt_failure const& event,
                                                time_point now,
                                                action_list& actions)
{
    auto const ended = remove_attempt(event.attempt);
    if (!ended)
        return;
    service_call& call = calls_.at(ended->request);
    picker_.failed(call.request.service, ended->worker, now);
    if (call.repeatable)
        on_repeatable_failure(call, event.stage, now, actions);
    else
        on_unrepeatable_failure(call, event.stage, now, actions);
    release_or_schedule(call);
}

// A plain service cannot refuse a call before running it: each response,
// whatever its status, means that the call ran.
bool service_caller::implementation::certainly_not_run(
    failure_stage stage) const
{
    return stage != failure_stage::refused && checks_.certainly_not_run(stage);
}

void service_caller::implementation::on_unrepeatable_failure(
    service_call& call, failure_stage stage, time_point now,
    action_list& actions)
{
    if (!certainly_not_run(stage))
    {
        finish_outcome_unknown(
            call, "the connection was lost after the call was sent", now,
            actions);
        return;
    }
    if (!call.finished() && now < call.request.deadline &&
        schedule_retry(call, now))
        return;
    finish_not_run(call,
                   error(error_kind::back_end_unavailable,
                         "no worker of the service could be reached", ran::no,
                         retry_after),
                   now, actions);
}

void service_caller::implementation::on_repeatable_failure(service_call& call,
                                                           failure_stage stage,
                                                           time_point now,
                                                           action_list& actions)
{
    if (!certainly_not_run(stage))
        call.may_have_run = true;
    // A hedged try may still be in progress.
    if (!call.attempts.empty() || schedule_retry(call, now))
        return;
    ran const what = call.may_have_run ? ran::unknown : ran::no;
    if (stage == failure_stage::answering)
        fail_call(
            call,
            error(error_kind::answer_cut, "the service's answer was cut off"),
            actions);
    else
        fail_call(call,
                  error(error_kind::back_end_unavailable,
                        "no worker of the service answered", what, retry_after),
                  actions);
}

} // namespace mulberry
