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
struct replay_fetch
{
    kept_answer kept;
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
    bool called = false;
    /// Some try is not certain not to have run.
    bool may_have_run = false;
    int tries = 0;
    std::map<attempt_id, service_worker_id> attempts;
    std::set<service_worker_id> tried;
    time_point next_try = never;
    /// When to try another worker beside the silent one.
    time_point silence_due = never;
    /// Until when a late answer is waited for.
    time_point late_until = never;
    std::optional<replay_fetch> fetch;
    /// The answer of a call that may not be repeated, while its record is being
    /// written; it is given at `held_until` at the latest.
    std::optional<service_answer> held;
    time_point held_until = never;

    /// Nobody waits for it any more.
    bool finished() const { return answered || withdrawn; }

    /// When it is to be looked at next.
    time_point due() const
    {
        time_point first = late_until;
        if (late_until == never)
            first = request.deadline;
        first = std::min({first, next_try, silence_due, held_until});
        if (fetch)
            first = std::min({first, fetch->reply_due, fetch->retry_due});
        return first;
    }
};

} // namespace mulberry

#endif
