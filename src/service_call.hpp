/// What service_caller knows of one request.
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

/// Reading a large kept answer from the object store.
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
    /// The final answer was given.
    bool answered = false;
    bool withdrawn = false;
    /// Once-calls: made at least once under the claim.
    bool attempted = false;
    /// Some try is not certain not to have run.
    bool may_have_run = false;
    int tries = 0;
    std::map<attempt_id, service_worker_id> attempts;
    std::set<service_worker_id> tried_workers;
    time_point next_try_at = never;
    /// When to try another worker beside the silent one.
    time_point hedge_at = never;
    /// Until when a late answer is waited for.
    time_point late_answer_deadline = never;
    std::optional<stored_answer_fetch> fetch;
    /// The answer of a call that may not be repeated, while its record is being
    /// written; it is given at `held_until` at the latest.
    std::optional<service_answer> held_answer;
    time_point held_answer_deadline = never;

    /// Nobody waits for it any more.
    bool finished() const { return answered || withdrawn; }

    /// When it is to be looked at next.
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
