/// Implementation of service_caller, shared by its source files.
#ifndef MULBERRY_SERVICE_CALLER_IMPLEMENTATION_HPP
#define MULBERRY_SERVICE_CALLER_IMPLEMENTATION_HPP

#include "claim_row.hpp"
#include "claim_store.hpp"
#include "due_index.hpp"
#include "service_call.hpp"
#include "service_caller.hpp"
#include "service_picker.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace mulberry
{

/// Retry-After that callers get with an error.
inline constexpr duration retry_after = std::chrono::seconds(1);

/// Sources:
///   service_caller.cpp: requests from submission to answer, and deadlines
///   service_caller_tries.cpp: tries at workers
///   service_caller_claims.cpp: claims and their results
///   service_caller_replay.cpp: answers stored by an earlier request
///
/// Thread safety: as service_caller.
class service_caller::implementation
{
public:
    implementation(
        service_settings settings, safeguards const& checks, id_source& ids,
        std::function<bool(vm_id const&, incarnation)> incarnation_ended);

    void configure(std::shared_ptr<declaration const> configuration);
    void set_incarnation(incarnation vm_incarnation)
    {
        vm_incarnation_ = vm_incarnation;
    }
    void submit(service_request request, time_point now, action_list& actions);
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);
    bool knows(operation_id operation) const;
    bool knows(attempt_id attempt) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    void on_answer(service_attempt_answer const& event, time_point now,
                   action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);
    void tick(time_point now, action_list& actions);
    std::size_t in_progress() const;
    service_counts counts() const;

private:
    /// Greater than the id of every attempt.
    static constexpr attempt_id after_all_attempts{UINT64_MAX};

    struct ended_attempt
    {
        request_id request;
        service_worker_id worker;
    };

    service_declaration const* find_service(service_id const& service) const;
    std::optional<error> admission_error(service_request const& request,
                                         bool repeatable, time_point now) const;
    void start_claim(service_call const& call, time_point now,
                     action_list& actions);

    // Tries at workers.
    void start_first_try(service_call& call, time_point now,
                         action_list& actions);
    void start_try(service_call& call, time_point now, action_list& actions);
    bool schedule_retry(service_call& call, time_point now);
    void start_hedge(service_call& call, time_point now, action_list& actions);
    std::optional<ended_attempt> remove_attempt(attempt_id attempt);
    /// Cancels all attempts of the call. Those with an id below
    /// `failed_before` count as failures of their workers.
    void cancel_attempts(service_call& call, attempt_id failed_before,
                         time_point now, action_list& actions);
    /// Starts writing the outcome of an answered call; the answer is delivered
    /// when the outcome is recorded or at `held_answer_deadline`.
    void record_answer(service_call& call, service_answer const& answer,
                       time_point now, action_list& actions);
    void deliver_held_answer(service_call& call, action_list& actions);
    bool certainly_not_run(failure_stage stage) const;
    void on_unrepeatable_failure(service_call& call, failure_stage stage,
                                 time_point now, action_list& actions);
    void on_repeatable_failure(service_call& call, failure_stage stage,
                               time_point now, action_list& actions);

    // Claims.
    void on_claim_result(claim_result const& result, time_point now,
                         action_list& actions);
    void start_claimed_call(service_call& call, time_point now,
                            action_list& actions);
    void on_claim_not_acquired(service_call& call, claim_result const& result,
                               time_point now, action_list& actions);
    void on_claim_held_by_other(service_call& call, claim_result const& result,
                                time_point now, action_list& actions);
    void on_claim_in_progress(service_call& call, claim_result const& result,
                              time_point now, action_list& actions);
    void record_unknown_outcome(service_call const& call,
                                claim_result const& result, time_point now,
                                action_list& actions);
    void finish_not_run(service_call& call, error what, time_point now,
                        action_list& actions);
    void finish_outcome_unknown(service_call& call, std::string text,
                                time_point now, action_list& actions);

    // Answers stored by an earlier request.
    void replay(service_call& call, stored_answer const& stored, time_point now,
                action_list& actions);
    void fetch_stored_answer(service_call& call, time_point now,
                             action_list& actions);
    void on_stored_answer(service_call& call, object_reply const& reply,
                          time_point now, action_list& actions);

    void on_due(service_call& call, time_point now, action_list& actions);
    void on_deadline(service_call& call, time_point now, action_list& actions);
    void on_unrepeatable_deadline(service_call& call, time_point now,
                                  action_list& actions);
    void deliver(service_call& call, service_answer answer, bool replayed,
                 action_list& actions);
    void fail_call(service_call& call, error what, action_list& actions);
    void log_event(service_call const& call, char const* kind,
                   std::string const& text, action_list& actions) const;
    /// Removes the call if nothing is left to do; otherwise schedules its next
    /// timed step. The reference may be dangling afterwards.
    void release_or_schedule(service_call& call);

    service_settings settings_;
    safeguards const& checks_;
    id_source& ids_;
    std::function<bool(vm_id const&, incarnation)> incarnation_ended_;
    std::shared_ptr<declaration const> configuration_;
    incarnation vm_incarnation_;
    retry_budget budget_;
    service_picker picker_;
    claim_store claims_;
    std::unordered_map<request_id, service_call> calls_;
    std::unordered_map<attempt_id, request_id> attempts_;
    std::unordered_map<operation_id, request_id> fetches_;
    due_index<request_id> due_;
    service_counts counts_;
};

} // namespace mulberry

#endif
