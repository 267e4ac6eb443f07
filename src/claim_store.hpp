/// Reads and writes the claims of this VM in the table: one row per call that
/// must not be repeated, from the claim before the call to its outcome.
#ifndef MULBERRY_CLAIM_STORE_HPP
#define MULBERRY_CLAIM_STORE_HPP

#include "action.hpp"
#include "claim_row.hpp"
#include "due_index.hpp"
#include "ids.hpp"
#include "retry_budget.hpp"
#include "table.hpp"
#include "time_point.hpp"
#include "write_pacer.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace mulberry
{

/// What a reply of the table says about a claim.
struct claim_result
{
    enum class status_code
    {
        /// The claim of this VM is recorded.
        acquired,
        /// The row belongs to another request: see `row`.
        held_by_other,
        /// The table did not answer or refused the write; the same transaction
        /// is sent again.
        uncertain,
        /// The limit of unanswered tries is reached, and whether the claim is
        /// recorded is not known.
        retries_exhausted,
        /// The claim of this VM was recorded, and another VM then closed it
        /// because it considered this process dead.
        closed_by_other,
        /// The value of the row is not a valid claim.
        unreadable
    };
    request_id request;
    status_code status = status_code::uncertain;
    std::optional<claim_row> row;
    row_version version;
};

/// Makes claims and writes their outcomes. Claims are never deleted here: a
/// key is protected for as long as its row exists, which a separate sweep of
/// old rows decides.
///
/// A transaction whose answer was lost is sent again unchanged. This is safe
/// because each transaction is conditional on the previous version of the row:
/// at most one of the copies takes effect, however late a copy arrives.
///
/// Thread safety: none; owned by service_caller.
class claim_store
{
public:
    claim_store(id_source& ids, duration table_timeout,
                std::size_t inline_answer_bytes, std::uint64_t seed);

    /// Starts claiming `key` with `row` (stage `claimed`) and tries until
    /// `deadline`.
    ///
    /// Precondition: there is no claim of that request.
    void start_claim(request_id const& request, std::string key, claim_row row,
                     time_point deadline, time_point now, action_list& actions);
    /// Writes the outcome of the claim and repeats the write until the table
    /// is known to hold it. A later outcome replaces an earlier one. `not_run`
    /// means that no call was made and none will be made. Does nothing if
    /// there is no claim of that request.
    void record_outcome(request_id const& request, claim_stage stage,
                        std::optional<service_answer> answer, time_point now,
                        action_list& actions);
    /// Removes a claim that is known not to be recorded or whose outcome is
    /// recorded.
    void forget(request_id const& request);

    bool has_claim(request_id const& request) const;
    /// Returns whether an outcome was given and the table is known to hold it,
    /// or is known not to hold the claim.
    bool outcome_recorded(request_id const& request) const;
    std::size_t unwritten_outcomes() const { return unwritten_outcomes_; }
    std::size_t size() const { return claims_.size(); }

    /// Returns whether a reply to this operation is expected here.
    bool knows(operation_id operation) const;
    /// Handles a reply of the table and returns its result, if the caller
    /// needs to act on it. If an outcome is set, only `request` of the result
    /// is meaningful.
    std::optional<claim_result> on_table(table_reply const& reply,
                                         time_point now, action_list& actions);
    /// Handles a reply of the object store. Returns the request whose answer
    /// body was being stored, if any.
    std::optional<request_id> on_object(object_reply const& reply,
                                        time_point now, action_list& actions);
    /// Sends the operations that are due. Returns a result when an operation
    /// whose reply is overdue was handled as unreachable; must be called until
    /// it returns nothing.
    std::optional<claim_result> tick(time_point now, action_list& actions);

private:
    enum class operation_kind
    {
        idle,
        claiming,
        storing_body,
        writing_outcome
    };
    struct claim_outcome
    {
        claim_stage stage = claim_stage::not_run;
        std::optional<stored_answer> answer;
        /// The body while it has to be stored in the object store; otherwise
        /// null.
        std::shared_ptr<std::string const> body;
    };
    struct claim
    {
        std::string key;
        claim_row row;
        /// The row version on which the next write is conditional.
        row_version condition;
        time_point deadline;
        operation_kind in_flight = operation_kind::idle;
        operation_id operation;
        time_point reply_due = never;
        time_point retry_due = never;
        int tries = 0;
        int unanswered_tries = 0;
        /// Whether the claim may be recorded in the table or may still take
        /// effect there.
        bool may_take_effect = false;
        std::optional<claim_outcome> outcome;
        /// The stage carried by the outcome write in flight.
        claim_stage stage_in_flight = claim_stage::claimed;
        bool outcome_recorded = false;
    };
    using claim_map = std::unordered_map<request_id, claim>;

    void send_claim(claim_map::value_type& entry, time_point now,
                    action_list& actions);
    void send_outcome(claim_map::value_type& entry, time_point now,
                      action_list& actions);
    void send_body(claim_map::value_type& entry, time_point now,
                   action_list& actions);
    void start_operation(claim_map::value_type& entry, operation_kind what,
                         time_point due);
    void end_operation(claim_map::value_type& entry);
    void schedule(claim_map::value_type const& entry);
    void schedule_retry(claim_map::value_type& entry, time_point now);
    void mark_recorded(claim_map::value_type& entry);
    std::optional<claim_result> on_reply(claim_map::value_type& entry,
                                         table_reply const& reply,
                                         time_point now, action_list& actions);
    std::optional<claim_result> on_claim_reply(claim_map::value_type& entry,
                                               table_reply const& reply,
                                               time_point now,
                                               action_list& actions);
    std::optional<claim_result> on_claim_conflict(claim_map::value_type& entry,
                                                  table_reply const& reply,
                                                  time_point now,
                                                  action_list& actions);
    void on_abandoned_claim_reply(claim_map::value_type& entry,
                                  table_reply const& reply, time_point now,
                                  action_list& actions);
    void on_outcome_reply(claim_map::value_type& entry,
                          table_reply const& reply, time_point now,
                          action_list& actions);
    void on_outcome_conflict(claim_map::value_type& entry,
                             table_reply const& reply, time_point now,
                             action_list& actions);
    void send_next(claim_map::value_type& entry, time_point now,
                   action_list& actions);

    id_source& ids_;
    duration table_timeout_;
    std::size_t inline_answer_bytes_;
    /// Used only for its backoff with jitter; tries are limited by count and
    /// deadline.
    retry_budget jitter_;
    write_pacer pacer_;
    claim_map claims_;
    std::unordered_map<operation_id, request_id> operations_;
    due_index<request_id> due_;
    std::size_t unwritten_outcomes_ = 0;
};

} // namespace mulberry

#endif
