#include "error_kind.hpp"

#include <array>
#include <utility>

namespace mulberry
{
namespace
{

using enum error_kind;

constexpr std::array table{
    error_answer{bad_request, "bad_request", 400, ran::no, false,
                 "the request cannot be understood"},
    error_answer{bad_deadline, "bad_deadline", 400, ran::no, false,
                 "the deadline is not a number or is out of range"},
    error_answer{unauthorized, "unauthorized", 401, ran::no, false,
                 "the key is missing or unknown"},
    error_answer{not_found, "not_found", 404, ran::no, false,
                 "no such path or object"},
    error_answer{unknown_model, "unknown_model", 404, ran::no, false,
                 "the confirmed configuration has no such adapter version"},
    error_answer{unknown_service, "unknown_service", 404, ran::no, false,
                 "the confirmed configuration has no such service"},
    error_answer{key_required, "key_required", 400, ran::no, false,
                 "a call that may not be repeated needs an Idempotency-Key"},
    error_answer{key_conflict, "key_conflict", 422, ran::no, false,
                 "the Idempotency-Key was used for another request"},
    error_answer{body_too_large, "body_too_large", 413, ran::no, false,
                 "the body or the headers are over the limit"},
    error_answer{too_slow, "too_slow", 408, ran::no, true,
                 "the request did not arrive in time"},
    error_answer{out_of_memory, "out_of_memory", 503, ran::no, true,
                 "this VM has no memory left for the request"},
    error_answer{overloaded, "overloaded", 429, ran::no, true,
                 "no capacity is free before the deadline"},
    error_answer{over_allotment, "over_allotment", 429, ran::no, true,
                 "the team has used up its allotment"},
    error_answer{allotment_unknown, "allotment_unknown", 503, ran::no, true,
                 "the rest of the team's allotment is not known"},
    error_answer{quarantined, "quarantined", 503, ran::no, true,
                 "workers crashed under requests like it"},
    error_answer{not_owner, "not_owner", 503, ran::no, true,
                 "the worker has another owner now"},
    error_answer{draining, "draining", 503, ran::no, true,
                 "this VM is leaving and takes no new work"},
    error_answer{load_failed, "load_failed", 503, ran::no, true,
                 "the adapter could not be loaded"},
    error_answer{back_end_unavailable, "back_end_unavailable", 503, ran::no,
                 true, "no back end could be reached"},
    error_answer{back_end_refused, "back_end_refused", 502, ran::no, false,
                 "the back end refused the request"},
    error_answer{platform_unavailable, "platform_unavailable", 503, ran::no,
                 true, "the table service cannot be reached"},
    error_answer{
        configuration_stale, "configuration_stale", 503, ran::no, true,
        "this VM cannot confirm that its configuration version is current"},
    error_answer{deadline_passed, "deadline_passed", 504, ran::unknown, false,
                 "the deadline passed before the answer was complete"},
    error_answer{in_progress, "in_progress", 409, ran::unknown, true,
                 "a call under this Idempotency-Key is in progress"},
    error_answer{answer_cut, "answer_cut", 502, ran::unknown, false,
                 "the answer broke off and could not be resumed"},
    error_answer{outcome_unknown, "outcome_unknown", 502, ran::unknown, false,
                 "the call may or may not have run; it is not repeated"},
    error_answer{plan_outdated, "plan_outdated", 409, ran::no, false,
                 "the configuration changed since the plan was made"},
    error_answer{plan_infeasible, "plan_infeasible", 422, ran::no, false,
                 "the declared adapters do not fit the slots"},
    error_answer{cancelled, "cancelled", 499, ran::unknown, false,
                 "the caller went away"},
    error_answer{internal, "internal", 500, ran::unknown, false,
                 "an internal error of this program"},
};

} // namespace

std::span<error_answer const> error_table()
{
    return table;
}

error_answer const& answer_of(error_kind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

bool is_callers_fault(error_kind kind)
{
    switch (kind)
    {
    case error_kind::bad_request:
    case error_kind::bad_deadline:
    case error_kind::unauthorized:
    case error_kind::not_found:
    case error_kind::unknown_model:
    case error_kind::unknown_service:
    case error_kind::key_required:
    case error_kind::key_conflict:
    case error_kind::body_too_large:
    case error_kind::too_slow:
    case error_kind::cancelled:
        return true;
    default:
        return false;
    }
}

std::optional<error_kind> error_kind_named(std::string_view name)
{
    for (error_answer const& row : table)
        if (row.name == name)
            return row.kind;
    return std::nullopt;
}

error server_error(int status)
{
    // The request was received completely and may have run.
    if (status == 502)
        return error(error_kind::answer_cut,
                     "the connection was half closed by the caller before the "
                     "answer, which ends the request");
    error_kind const kind = status == 413 || status == 414 || status == 431
                                ? error_kind::body_too_large
                            : status == 408 ? error_kind::too_slow
                            : status == 503 ? error_kind::out_of_memory
                                            : error_kind::bad_request;
    return error(kind, std::string(answer_of(kind).meaning));
}

std::string_view to_string(ran value)
{
    switch (value)
    {
    case ran::no:
        return "no";
    case ran::yes:
        return "yes";
    case ran::unknown:
        return "unknown";
    }
    return "unknown";
}

error::error(error_kind kind, std::string text)
    : error(kind, std::move(text), answer_of(kind).usual_ran)
{
}

error::error(error_kind kind, std::string text, ran value,
             std::optional<duration> retry_after)
    : kind_(kind), text_(std::move(text)), ran_(value),
      retry_after_(retry_after)
{
}

} // namespace mulberry
