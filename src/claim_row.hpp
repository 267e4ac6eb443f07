/// The table row that stands for one call that may not be repeated.
#ifndef MULBERRY_CLAIM_ROW_HPP
#define MULBERRY_CLAIM_ROW_HPP

#include "action.hpp"
#include "ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

enum class claim_stage
{
    /// Somebody may be about to call, or is calling.
    claimed,
    /// The call ran and its answer is kept.
    answered,
    /// No call was made under this claim and none will be.
    not_run,
    /// Whether the call ran cannot be told.
    unknown
};

/// A service's answer as the row keeps it. Immutable value.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    /// Empty when `object` is set.
    std::string body;
    /// The object that holds the body, when it is too large for the row.
    std::string object;
    friend bool operator==(stored_answer const&,
                           stored_answer const&) = default;
};

/// Immutable value.
struct claim_row
{
    /// Unique to one request of one life of one VM.
    std::string token;
    vm_id vm;
    incarnation vm_incarnation;
    request_id request;
    std::string fingerprint;
    claim_stage stage = claim_stage::claimed;
    std::optional<stored_answer> answer;
    friend bool operator==(claim_row const&, claim_row const&) = default;
};

// Thread safety of all below: stateless; any thread.

/// The row's text. Bodies are kept in base64, since JSON cannot hold bytes
/// that are not UTF-8 and a replayed answer is to equal the first one.
std::string encode(claim_row const& row);

/// Nothing when the text is no claim.
std::optional<claim_row> decode_claim_row(std::string const& text);

/// The row under which all VMs meet for one Idempotency-Key of one service.
std::string claim_key(service_id const& service, idempotency_key const& key);

/// A digest of the method, target and body: requests with equal fingerprints
/// are tries of one call.
std::string call_fingerprint(service_request const& request);

/// The object that holds a body, named by its digest.
std::string answer_object_key(std::string_view body);

} // namespace mulberry

#endif
