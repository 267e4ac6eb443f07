#include "service_caller_implementation.hpp"

#include <string>
#include <utility>

namespace mulberry
{
namespace
{

claim_state to_claim_state(claim_result::status_code status)
{
    switch (status)
    {
    case claim_result::status_code::acquired:
        return claim_state::ours;
    case claim_result::status_code::uncertain:
    case claim_result::status_code::retries_exhausted:
        return claim_state::unknown;
    case claim_result::status_code::held_by_other:
    case claim_result::status_code::closed_by_other:
    case claim_result::status_code::unreadable:
        return claim_state::held;
    }
    return claim_state::held;
}

} // namespace

void service_caller::implementation::on_table(table_reply const& reply,
                                              time_point now,
                                              action_list& actions)
{
    if (auto const result = claims_.on_table(reply, now, actions))
        on_claim_result(*result, now, actions);
}

void service_caller::implementation::on_claim_result(claim_result const& result,
                                                     time_point now,
                                                     action_list& actions)
{
    service_call& call = calls_.at(result.request);
    if (call.finished() || call.attempted)
    {
        if (claims_.outcome_recorded(result.request))
            deliver_held_answer(call, actions);
        release_or_schedule(call);
        return;
    }
    if (checks_.may_call_once(to_claim_state(result.status)))
        start_claimed_call(call, now, actions);
    else
        on_claim_not_acquired(call, result, now, actions);
    release_or_schedule(call);
}

// Guards against two VMs, or one VM whose answer from the table was lost,
// making the call under the same key, so that, for example, a customer is
// billed twice. A call is made only when the table has confirmed that the row
// holds the token of this request. Rows are replaced only under their version,
// so that one token holds the row at a time.
//
// This process may be paused after the reply of the table or before the call
// is sent. No other VM can run the call in the meantime: the row keeps the
// token of this request. A VM that considers this one dead may only record
// `unknown`, after which no VM makes the call. `not_run`, the only stage under
// which others may claim the key again, is written only by this VM after it
// gave up the call.
//
// The deadline is compared with the time after such a pause, so that no call
// is made for a caller that no longer waits for its answer.
void service_caller::implementation::start_claimed_call(service_call& call,
                                                        time_point now,
                                                        action_list& actions)
{
    if (now >= call.request.deadline)
    {
        finish_not_run(call,
                       error(error_kind::deadline_passed,
                             "the deadline passed before the call", ran::no),
                       now, actions);
        return;
    }
    log_event(call, "call-claimed", "", actions);
    start_first_try(call, now, actions);
}

void service_caller::implementation::on_claim_not_acquired(
    service_call& call, claim_result const& result, time_point now,
    action_list& actions)
{
    switch (result.status)
    {
    case claim_result::status_code::retries_exhausted:
        finish_not_run(
            call,
            error(error_kind::platform_unavailable,
                  "the table service cannot be reached; the call was not "
                  "made",
                  ran::no, retry_after),
            now, actions);
        return;
    case claim_result::status_code::closed_by_other:
        finish_not_run(
            call,
            error(error_kind::platform_unavailable,
                  "another VM considered this VM dead; the call was not "
                  "made",
                  ran::no, retry_after),
            now, actions);
        return;
    case claim_result::status_code::held_by_other:
    case claim_result::status_code::unreadable:
        on_claim_held_by_other(call, result, now, actions);
        return;
    case claim_result::status_code::acquired:
    case claim_result::status_code::uncertain:
        // The claim is sent again until its result is certain or the deadline
        // passes.
        return;
    }
}

void service_caller::implementation::on_claim_held_by_other(
    service_call& call, claim_result const& result, time_point now,
    action_list& actions)
{
    // The claim of this request is known not to be recorded: the row belongs
    // to another request.
    claims_.forget(call.request.id);
    if (!result.row)
    {
        fail_call(call,
                  error(error_kind::outcome_unknown,
                        "the claim under this key cannot be read"),
                  actions);
        return;
    }
    claim_row const& row = *result.row;
    if (row.fingerprint != call_fingerprint(call.request))
    {
        log_event(call, "call-key-conflict",
                  "key already used by " + row.request.str(), actions);
        fail_call(call,
                  error(error_kind::key_conflict,
                        "the Idempotency-Key was used for another request"),
                  actions);
    }
    else if (row.stage == claim_stage::answered && row.answer)
        replay(call, *row.answer, now, actions);
    else if (row.stage == claim_stage::claimed)
        on_claim_in_progress(call, result, now, actions);
    else
        fail_call(
            call,
            error(error_kind::outcome_unknown,
                  "an earlier call under this key has an unknown outcome"),
            actions);
}

void service_caller::implementation::on_claim_in_progress(
    service_call& call, claim_result const& result, time_point now,
    action_list& actions)
{
    claim_row const& row = *result.row;
    if (!incarnation_ended_(row.vm, row.vm_incarnation))
    {
        fail_call(call,
                  error(error_kind::in_progress,
                        "a call under this key is in progress", ran::unknown,
                        retry_after),
                  actions);
        return;
    }
    // The holder died after its claim and before it recorded an outcome.
    // Whether it made the call cannot be determined, so a call now could be
    // the second one.
    record_unknown_outcome(call, result, now, actions);
    log_event(call, "call-unknown",
              "the claim's holder " + row.vm.str() + " is gone", actions);
    fail_call(
        call,
        error(error_kind::outcome_unknown, "the VM that made the call is gone"),
        actions);
}

// One try is enough: the next request under this key finds the same claim and
// tries again. If the holder is alive after all, the outcome that it writes
// later replaces this one.
void service_caller::implementation::record_unknown_outcome(
    service_call const& call, claim_result const& result, time_point now,
    action_list& actions)
{
    claim_row row = *result.row;
    row.stage = claim_stage::unknown;
    std::string const key = claim_key(call.request.service, call.request.key);
    actions.emplace_back(
        transact{ids_.next_operation(),
                 {{{key, result.version}}, {{key, encode(row)}}},
                 now + settings_.table_timeout});
}

void service_caller::implementation::finish_not_run(service_call& call,
                                                    error what, time_point now,
                                                    action_list& actions)
{
    claims_.record_outcome(call.request.id, claim_stage::not_run, std::nullopt,
                           now, actions);
    log_event(call, "call-not-run", what.text(), actions);
    fail_call(call, std::move(what), actions);
}

void service_caller::implementation::finish_outcome_unknown(
    service_call& call, std::string text, time_point now, action_list& actions)
{
    claims_.record_outcome(call.request.id, claim_stage::unknown, std::nullopt,
                           now, actions);
    log_event(call, "call-unknown", text, actions);
    fail_call(call, error(error_kind::outcome_unknown, std::move(text)),
              actions);
}

} // namespace mulberry
