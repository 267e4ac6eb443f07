#include "service_caller_implementation.hpp"

#include <string>
#include <utility>

namespace mulberry
{
namespace
{

claim_state state_of(claim_verdict::what found)
{
    switch (found)
    {
    case claim_verdict::what::ours:
        return claim_state::ours;
    case claim_verdict::what::uncertain:
    case claim_verdict::what::exhausted:
        return claim_state::unknown;
    case claim_verdict::what::held:
    case claim_verdict::what::closed:
    case claim_verdict::what::unreadable:
        return claim_state::held;
    }
    return claim_state::held;
}

} // namespace

void service_caller::implementation::on_table(table_reply const& reply,
                                              time_point now,
                                              action_list& actions)
{
    if (auto const verdict = claims_.on_table(reply, now, actions))
        on_verdict(*verdict, now, actions);
}

void service_caller::implementation::on_verdict(claim_verdict const& verdict,
                                                time_point now,
                                                action_list& actions)
{
    service_call& call = calls_.at(verdict.request);
    if (call.finished() || call.called)
    {
        if (claims_.settled(verdict.request))
            give_held(call, actions);
        review(call);
        return;
    }
    if (checks_.may_call_once(state_of(verdict.found)))
        call_once(call, now, actions);
    else
        on_claim_missing(call, verdict, now, actions);
    review(call);
}

// The failure: two VMs, or one whose answer was lost, call under one key,
// and a family is billed twice. A call is made only when the table has
// said that the row holds our own token: rows are replaced only under
// their version, so that one token holds it at a time.
//
// This process may have been paused between the table's answer and here,
// or may be before the call is sent. Nobody can have run the call in the
// meantime: the row keeps our token, a VM that takes us for dead may only
// record `unknown`, after which none calls, and `not_run`, the one state
// under which others claim anew, is written by us alone after we gave up.
// The deadline is checked with the time of waking, so that the caller is
// not served a call that it no longer waits for.
void service_caller::implementation::call_once(service_call& call,
                                               time_point now,
                                               action_list& actions)
{
    if (now >= call.request.deadline)
    {
        not_run(call,
                error(error_kind::deadline_passed,
                      "the deadline passed before the call", ran::no),
                now, actions);
        return;
    }
    note(call, "call-claimed", "", actions);
    start_first_try(call, now, actions);
}

void service_caller::implementation::on_claim_missing(
    service_call& call, claim_verdict const& verdict, time_point now,
    action_list& actions)
{
    switch (verdict.found)
    {
    case claim_verdict::what::exhausted:
        not_run(call,
                error(error_kind::platform_unavailable,
                      "the table service cannot be reached; the call was not "
                      "made",
                      ran::no, come_back_after),
                now, actions);
        return;
    case claim_verdict::what::closed:
        not_run(call,
                error(error_kind::platform_unavailable,
                      "another VM took this one for dead; the call was not "
                      "made",
                      ran::no, come_back_after),
                now, actions);
        return;
    case claim_verdict::what::held:
    case claim_verdict::what::unreadable:
        on_held(call, verdict, now, actions);
        return;
    case claim_verdict::what::ours:
    case claim_verdict::what::uncertain:
        // Tried again, until certain or the deadline.
        return;
    }
}

void service_caller::implementation::on_held(service_call& call,
                                             claim_verdict const& verdict,
                                             time_point now,
                                             action_list& actions)
{
    // Known not to be recorded: the row is another request's.
    claims_.forget(call.request.id);
    if (!verdict.row)
    {
        refuse(call,
               error(error_kind::outcome_unknown,
                     "the claim under this key cannot be read"),
               actions);
        return;
    }
    claim_row const& row = *verdict.row;
    if (row.fingerprint != call_fingerprint(call.request))
    {
        note(call, "call-key-conflict", "held by " + row.request.str(),
             actions);
        refuse(call,
               error(error_kind::key_conflict,
                     "the Idempotency-Key was used for another request"),
               actions);
    }
    else if (row.stage == claim_stage::answered && row.answer)
        replay(call, *row.answer, now, actions);
    else if (row.stage == claim_stage::claimed)
        answer_claimed(call, verdict, now, actions);
    else
        refuse(call,
               error(error_kind::outcome_unknown,
                     "an earlier call under this key has an unknown outcome"),
               actions);
}

void service_caller::implementation::answer_claimed(
    service_call& call, claim_verdict const& verdict, time_point now,
    action_list& actions)
{
    claim_row const& row = *verdict.row;
    if (!life_is_over_(row.vm, row.life))
    {
        refuse(call,
               error(error_kind::in_progress,
                     "a call under this key is in progress", ran::unknown,
                     come_back_after),
               actions);
        return;
    }
    // The holder died between its claim and the end of its call: whether it
    // got to call cannot be told, and to call now could be the second time.
    record_unknown(call, verdict, now, actions);
    note(call, "call-unknown", "its holder " + row.vm.str() + " is gone",
         actions);
    refuse(
        call,
        error(error_kind::outcome_unknown, "the VM that made the call is gone"),
        actions);
}

// One try is enough: whoever asks next finds the same claim and tries again.
// If the holder lives after all, its own later end replaces this one.
void service_caller::implementation::record_unknown(
    service_call const& call, claim_verdict const& verdict, time_point now,
    action_list& actions)
{
    claim_row row = *verdict.row;
    row.stage = claim_stage::unknown;
    std::string const key = claim_key(call.request.service, call.request.key);
    actions.emplace_back(
        transact{ids_.next_operation(),
                 {{{key, verdict.version}}, {{key, encode(row)}}},
                 now + settings_.table_timeout});
}

void service_caller::implementation::not_run(service_call& call, error what,
                                             time_point now,
                                             action_list& actions)
{
    claims_.end(call.request.id, claim_stage::not_run, std::nullopt, now,
                actions);
    note(call, "call-not-run", what.text(), actions);
    refuse(call, std::move(what), actions);
}

void service_caller::implementation::outcome_unknown(service_call& call,
                                                     std::string text,
                                                     time_point now,
                                                     action_list& actions)
{
    claims_.end(call.request.id, claim_stage::unknown, std::nullopt, now,
                actions);
    note(call, "call-unknown", text, actions);
    refuse(call, error(error_kind::outcome_unknown, std::move(text)), actions);
}

} // namespace mulberry
