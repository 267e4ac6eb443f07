/// State that service_caller keeps for one request.
#ifndef MULBERRY_SERVICE_CALL_HPP
#define MULBERRY_SERVICE_CALL_HPP

#include "action.hpp"
#include "claim_row.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace mulberry
{

/// A read of a stored answer from the object store.
struct stored_answer_fetch
{
    stored_answer stored;
    operation_id operation;
    time_point reply_due = never;
    time_point retry_due = never;
    int tries = 0;
};

struct service_call
{
    service_request request;
    bool repeatable = false;
    /// The final answer or error was delivered.
    bool answered = false;
    bool withdrawn = false;
    /// Whether at least one try was started at a worker. A call that must not
    /// be repeated is started only under its claim.
    bool attempted = false;
    /// Whether at least one try is not certain not to have run.
    bool may_have_run = false;
    int tries = 0;
    std::map<attempt_id, service_worker_id> attempts;
    std::set<service_worker_id> tried_workers;
    time_point next_try_at = never;
    /// When to send the call also to another worker if no try has been
    /// answered.
    time_point hedge_at = never;
    /// The time until which an answer is awaited after the deadline of the
    /// request has passed; `never` before.
    time_point late_answer_deadline = never;
    std::optional<stored_answer_fetch> fetch;
    /// The answer of a call that must not be repeated while its outcome is
    /// being written. It is delivered at `held_answer_deadline` at the latest.
    std::optional<service_answer> held_answer;
    time_point held_answer_deadline = never;

    /// Returns whether the caller no longer waits for an answer.
    bool finished() const { return answered || withdrawn; }

    /// Returns the time of the next timed step of the call.
    time_point next_due() const
    {
        time_point first = late_answer_deadline;
        if (late_answer_deadline == never)
            first = request.deadline;
        first = std::min({first, next_try_at, hedge_at, held_answer_deadline});
        if (fetch)
            first = std::min({first, fetch->reply_due, fetch->retry_due});
        return first;
    }
};

} // namespace mulberry

#endif
