/// The table row of one call that must not be repeated.
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
    /// The VM that holds the claim may be about to make the call or may be
    /// making it.
    claimed,
    /// The call ran, and the row holds its answer.
    answered,
    /// No call was made under this claim and none will be.
    not_run,
    /// Whether the call ran cannot be determined.
    unknown
};

/// A service's answer as it is stored in the row. Immutable value.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    /// Empty when `object` is set.
    std::string body;
    /// Key of the object that holds the body when the body is too large for
    /// the row; empty otherwise.
    std::string object;
    friend bool operator==(stored_answer const&,
                           stored_answer const&) = default;
};

/// Immutable value.
struct claim_row
{
    /// Unique to one request of one incarnation of one VM.
    std::string token;
    vm_id vm;
    incarnation vm_incarnation;
    request_id request;
    std::string fingerprint;
    claim_stage stage = claim_stage::claimed;
    std::optional<stored_answer> answer;
    friend bool operator==(claim_row const&, claim_row const&) = default;
};

// Thread safety: the functions below are stateless and may be called from any
// thread.

/// Returns the row as JSON text. Bodies are stored in base64, because JSON
/// cannot hold bytes that are not UTF-8 and a replayed answer must equal the
/// first one.
std::string encode(claim_row const& row);

/// Returns nothing when the text is not a valid claim row.
std::optional<claim_row> decode_claim_row(std::string const& text);

/// Returns the key of the row that all VMs use for one Idempotency-Key of one
/// service.
std::string claim_key(service_id const& service, idempotency_key const& key);

/// Returns a digest of the method, target and body. Requests with equal
/// fingerprints are tries of the same call.
std::string call_fingerprint(service_request const& request);

/// Returns the key of the object that holds a body: the digest of the body.
std::string answer_object_key(std::string_view body);

} // namespace mulberry

#endif
