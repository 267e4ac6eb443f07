/// The complete list of error kinds and the table from each kind to its answer.
#ifndef MULBERRY_ERROR_KIND_HPP
#define MULBERRY_ERROR_KIND_HPP

#include "time_point.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mulberry
{

/// Whether a request ran at a back end. `no` is reported only if this is
/// certain.
enum class ran
{
    no,
    yes,
    unknown
};

/// Every error that a caller, a peer or an operator can receive.
enum class error_kind
{
    bad_request,
    bad_deadline,
    unauthorized,
    not_found,
    unknown_model,
    unknown_service,
    key_required,
    key_conflict,
    body_too_large,
    too_slow,
    out_of_memory,
    overloaded,
    over_allotment,
    allotment_unknown,
    quarantined,
    not_owner,
    draining,
    load_failed,
    back_end_unavailable,
    back_end_refused,
    platform_unavailable,
    configuration_stale,
    deadline_passed,
    in_progress,
    answer_cut,
    outcome_unknown,
    plan_outdated,
    plan_infeasible,
    cancelled,
    internal
};

/// One row of the table from kind to answer.
struct error_answer
{
    error_kind kind;
    /// As written in the JSON answer.
    std::string_view name;
    int http_status;
    /// Whether the request ran, unless the error states this itself.
    ran usual_ran;
    /// Whether a later retry can succeed; only then is Retry-After sent.
    bool retry_helps;
    std::string_view meaning;
};

/// The complete table, one row per kind, in the order of the enumeration.
std::span<error_answer const> error_table();

/// The row of a kind. Never fails, since every kind has a row.
error_answer const& answer_of(error_kind kind);

/// Whether the caller could have avoided the error; such answers do not count
/// against the quarter's targets.
bool is_callers_fault(error_kind kind);

/// The kind with that name in the table, if any.
std::optional<error_kind> error_kind_named(std::string_view name);

std::string_view to_string(ran value);

/// An error to be answered to a caller, a peer or an operator. Immutable value.
class error
{
public:
    error(error_kind kind, std::string text);
    error(error_kind kind, std::string text, ran value,
          std::optional<duration> retry_after = std::nullopt);

    error_kind kind() const { return kind_; }
    std::string const& text() const { return text_; }
    ran request_ran() const { return ran_; }
    /// How long the caller should wait before a retry.
    std::optional<duration> retry_after() const { return retry_after_; }

    friend bool operator==(error const&, error const&) = default;

private:
    error_kind kind_;
    std::string text_;
    ran ran_;
    std::optional<duration> retry_after_;
};

/// The error for the HTTP status of a request that the HTTP server itself
/// refuses or ends, such as one with a body that is too large.
error server_error(int status);

} // namespace mulberry

#endif
