#include "service_simulation.hpp"

#include <algorithm>

namespace mulberry::test
{
namespace
{

using violation = std::optional<std::string>;

bool is_unrepeatable(service_run const& run)
{
    return run.method != "GET";
}

violation runs_at_most_once(call_history const& history)
{
    std::map<idempotency_key, int> runs;
    for (service_run const& run : history.runs)
        if (is_unrepeatable(run) && ++runs[run.key] > 1)
            return "ran twice: " + run.key.str();
    return std::nullopt;
}

violation not_run_reports_are_true(call_history const& history)
{
    for (final_answer const& final : history.final_answers)
        for (service_run const& run : history.runs)
            if (final.what && final.what->request_ran() == ran::no &&
                run.request == final.request)
                return "reported not run but ran: " + run.request.str();
    return std::nullopt;
}

/// Returns the run that produced this answer.
service_run const* find_run(call_history const& history,
                            service_answer const& answer)
{
    auto const found = std::find_if(history.runs.begin(), history.runs.end(),
                                    [&](service_run const& run)
                                    { return run.answer == answer; });
    return found == history.runs.end() ? nullptr : &*found;
}

violation answer_is_own(call_history const& history,
                        submitted_request const& submitted,
                        final_answer const& final)
{
    service_run const* const run = find_run(history, *final.answer);
    std::string const name = submitted.request.id.str();
    if (run == nullptr)
        return "answer of no run: " + name;
    if (!final.replayed && run->request != submitted.request.id)
        return "another request's answer: " + name;
    if (run->key != submitted.request.key)
        return "another key's answer: " + name;
    if (run->body != *submitted.request.body)
        return "answer to another body: " + name;
    return std::nullopt;
}

violation one_answer_in_time(call_history const& history,
                             submitted_request const& submitted)
{
    std::string const name = submitted.request.id.str();
    int count = 0;
    for (final_answer const& final : history.final_answers)
    {
        if (final.request != submitted.request.id)
            continue;
        ++count;
        if (submitted.answer_expected && final.at > submitted.answer_due)
            return "answered late: " + name;
        if (final.answer)
            if (auto found = answer_is_own(history, submitted, final))
                return found;
    }
    if (count > 1)
        return "answered twice: " + name;
    if (submitted.answer_expected && count == 0)
        return "not answered: " + name;
    return std::nullopt;
}

/// A claim that its live holder left open blocks the key permanently; a claim
/// closed as not run although the call ran lets the call run again.
violation claims_are_closed(call_history const& history)
{
    for (claim_row const& claim : history.claims)
    {
        if (claim.stage == claim_stage::claimed &&
            history.vm_incarnations.at(claim.vm) == claim.vm_incarnation)
            return "claim left open: " + claim.request.str();
        for (service_run const& run : history.runs)
            if (claim.stage == claim_stage::not_run && is_unrepeatable(run) &&
                run.request == claim.request)
                return "recorded not run but ran: " + claim.request.str();
    }
    return std::nullopt;
}

violation conflict_is_real(call_history const& history,
                           submitted_request const& submitted,
                           final_answer const& final)
{
    if (!final.what || final.what->kind() != error_kind::key_conflict)
        return std::nullopt;
    for (submitted_request const& other : history.submitted)
        if (other.request.key == submitted.request.key &&
            *other.request.body != *submitted.request.body)
            return std::nullopt;
    return "key conflict without another body: " + submitted.request.id.str();
}

violation all_answers_are_valid(call_history const& history)
{
    for (submitted_request const& submitted : history.submitted)
        if (auto found = one_answer_in_time(history, submitted))
            return found;
    return std::nullopt;
}

violation all_key_conflicts_are_real(call_history const& history)
{
    for (submitted_request const& submitted : history.submitted)
        for (final_answer const& final : history.final_answers)
            if (final.request == submitted.request.id)
                if (auto found = conflict_is_real(history, submitted, final))
                    return found;
    return std::nullopt;
}

violation no_work_is_left(call_history const& history)
{
    if (history.left_in_progress != 0)
        return "work left in progress";
    return std::nullopt;
}

} // namespace

std::vector<std::string> violations(call_history const& history)
{
    std::vector<std::string> all;
    for (auto* const check :
         {&runs_at_most_once, &not_run_reports_are_true, &all_answers_are_valid,
          &all_key_conflicts_are_real, &claims_are_closed, &no_work_is_left})
        if (auto found = (*check)(history))
            all.push_back(std::move(*found));
    return all;
}

} // namespace mulberry::test
