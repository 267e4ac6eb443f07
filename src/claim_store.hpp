/// The table work of this VM's claims: one row a call that may not be
/// repeated, from the claim before the call to its end.
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

/// What a reply of the table says of a claim.
struct claim_result
{
    enum class status_code
    {
        /// Our claim is recorded.
        acquired,
        /// The row belongs to another request: see `row`.
        held_by_other,
        /// The table did not answer; the same transaction is sent again.
        uncertain,
        /// The bound of tries is over, and nothing is certain.
        retries_exhausted,
        /// Our claim was recorded and another VM closed it, taking this
        /// process for dead.
        closed_by_other,
        /// The row holds no text of ours.
        unreadable
    };
    request_id request;
    status_code status = status_code::uncertain;
    std::optional<claim_row> row;
    row_version version;
};

/// Claims are never deleted here: a key is protected for as long as its row
/// stands, and a sweep that deletes old rows decides how long that is.
///
/// Transactions that lost their answer are sent again as they were. That is
/// safe since each is conditional on the version that the row had before: at
/// most one of the copies takes effect, however late one lands.
/// Thread safety: none; owned by service_caller.
class claim_store
{
public:
    claim_store(id_source& ids, duration table_timeout,
                std::size_t inline_answer_bytes, std::uint64_t seed);

    /// Starts claiming `key` with `row` (stage claimed), until `deadline`.
    /// Precondition: no claim of that request is open.
    void start_claim(request_id const& request, std::string key, claim_row row,
                     time_point deadline, time_point now, action_list& actions);
    /// Writes the end of the claim until that is certain. A later end replaces
    /// an earlier one. For `not_run`: no call was made and none will be.
    void record_outcome(request_id const& request, claim_stage stage,
                        std::optional<service_answer> answer, time_point now,
                        action_list& actions);
    /// Forgets a claim that is known not to be recorded, or whose end is.
    void forget(request_id const& request);

    bool has_claim(request_id const& request) const;
    /// Whether an end was given and the table is known to hold it.
    bool outcome_recorded(request_id const& request) const;
    std::size_t unwritten_outcomes() const { return unwritten_outcomes_; }
    std::size_t size() const { return claims_.size(); }

    bool knows(operation_id operation) const;
    /// A verdict when the claim is still being made; the request's name alone
    /// matters when its end is being written.
    std::optional<claim_result> on_table(table_reply const& reply,
                                         time_point now, action_list& actions);
    /// The request whose body was stored, if any.
    std::optional<request_id> on_object(object_reply const& reply,
                                        time_point now, action_list& actions);
    /// Sends what is due. Returns when an operation that never got a reply was
    /// counted as unreachable; to be called until it returns nothing.
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
        /// The body on its way to the object store.
        std::shared_ptr<std::string const> body;
    };
    struct claim
    {
        std::string key;
        claim_row row;
        /// What the next write is conditional on.
        row_version condition;
        time_point deadline;
        operation_kind in_flight = operation_kind::idle;
        operation_id operation;
        time_point reply_due = never;
        time_point retry_due = never;
        int tries = 0;
        int unanswered_tries = 0;
        /// A claim that is not certain to have failed may stand in the table,
        /// or may land there later.
        bool may_take_effect = false;
        std::optional<claim_outcome> outcome;
        /// The end that the write under way carries.
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
    /// For its jitter only: tries are bounded by count and deadline here.
    retry_budget jitter_;
    write_pacer pacer_;
    claim_map claims_;
    std::unordered_map<operation_id, request_id> operations_;
    due_index<request_id> due_;
    std::size_t unwritten_outcomes_ = 0;
};

} // namespace mulberry

#endif
