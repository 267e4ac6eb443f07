/// A caller's request, a worker's reply and a worker's order and report, as
/// decoded from the wire by the codec.
#ifndef MULBERRY_RELAY_REQUEST_HPP
#define MULBERRY_RELAY_REQUEST_HPP

#include "http_message.hpp"
#include "ids.hpp"
#include "team.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// The model that a request names.
struct model_target
{
    base_model_id model;
    /// Empty for a request to the base model.
    adapter_id adapter;
    friend auto operator<=>(model_target const&, model_target const&) = default;
};

/// A part of a prompt. Several requests may share leading parts; the last part
/// belongs to one request or one session.
struct prompt_part
{
    /// Parts with the same text have the same id.
    std::string id;
    std::uint32_t tokens = 0;
    friend auto operator<=>(prompt_part const&, prompt_part const&) = default;
};

/// The prefix of a prompt that other requests may share. Value.
struct shared_prefix
{
    /// Hash of the ids of the prefix's parts; 0 if there is no shared prefix.
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
    friend bool operator==(shared_prefix const&,
                           shared_prefix const&) = default;
};

/// Token counts of a request as stated by its caller. Value.
struct prompt_shape
{
    /// Tokens of the whole prompt; 0 if the caller did not state the number.
    std::uint32_t tokens = 0;
    /// Parts of the prompt, in order.
    std::vector<prompt_part> parts;
    /// Maximum tokens of the answer; 0 if the caller did not state the number.
    std::uint32_t answer_tokens = 0;
    friend auto operator<=>(prompt_shape const&, prompt_shape const&) = default;
};

/// Returns the prefix made of all parts but the last, which is not shared.
shared_prefix prefix_of(prompt_shape const& prompt);

/// Identifies retries of the same request, although each attempt has its own
/// request id. Value.
struct request_identity
{
    /// Digest of what a worker executes: method, host, target, model and body.
    request_digest content;
    /// Digest of `content` together with the caller's address.
    request_digest content_and_caller;
    /// The parts of the prompt that other requests may share.
    std::vector<request_digest> parts;
    friend bool operator==(request_identity const&,
                           request_identity const&) = default;
};

/// The digest under which crashes are recorded for a part of a prompt.
request_digest part_digest(std::string const& part);
/// Whether the digest is one of part_digest().
bool is_part(request_digest const& digest);
/// The digests of all parts but the last, which is not shared.
std::vector<request_digest> shared_parts(prompt_shape const& prompt);

/// The parts of a caller's request that the relay bases decisions on; the rest
/// is forwarded unchanged.
struct relay_request
{
    /// Identifies one attempt; a retry by the caller has another id.
    request_id id;
    std::string host;
    std::string method;
    /// Path and query as received.
    std::string target;
    std::string path;
    /// Without hop-by-hop fields, fields that only the relay may set, and the
    /// fields in `credentials`.
    http_headers headers;
    /// Fields that authenticate or name a team, as received; never logged. They
    /// are forwarded only if no teams are configured.
    http_headers credentials;
    /// Digest of the API key that the caller sent, if any.
    std::optional<key_digest> key;
    std::string body;
    /// How long the caller waits for an answer, from the request's arrival.
    std::optional<duration> time_left;
    std::optional<model_target> model;
    prompt_shape prompt;
    /// Number of the last event that the caller received of a stream that it
    /// resumes.
    std::optional<std::uint64_t> last_event;
    /// The caller's try that brought the first event of a stream that it
    /// resumes.
    std::optional<request_id> resumes;
    /// The caller's address; empty if unknown.
    std::string caller;
};

/// The cost of a request in the allotment's unit: 1 per request, or the tokens
/// of prompt and answer; `plain_tokens` if no token counts are stated.
double allotment_cost(relay_request const& request, allotment const& limit);

/// Requests that state no number of tokens, a second, that the allotment
/// allows; above 0. Thread safety: any.
double plain_requests_per_second(allotment const& limit);

/// Computes both digests (SHA-256, truncated to 128 bits). Linear in the size
/// of the body.
request_identity identity_of(relay_request const& request);

/// Header values that the relay adds when it forwards a request to a worker.
struct forward_options
{
    worker_id worker;
    duration time_left{};
    /// Team that sent the request; empty if the route needs no team. Absent if
    /// no teams are configured: the caller's own fields are then forwarded.
    std::optional<team_id> team;
    /// 0 is the most urgent; absent for a plain service.
    std::optional<int> priority;
    /// The worker runs the request on this version of the adapter or rejects
    /// the request; 0 for any version.
    adapter_version version;
    /// IP:PORT of another worker that may still have the prompt's prefix in its
    /// KV cache; the worker copies the cache entry instead of computing
    /// prefill.
    std::optional<std::string> copy_prompt_from;
    /// Number of the event after which the stream resumes.
    std::optional<std::uint64_t> resume_after;
};

/// What an answer says of the worker's limit on requests per second. Value.
struct limit_statement
{
    /// Requests per second, of all VMs together; nullopt: no limit is named.
    std::optional<double> per_second;
    /// The answer names something that is no limit; it neither sets nor ends
    /// one.
    bool malformed = false;
    friend bool operator==(limit_statement const&,
                           limit_statement const&) = default;
};

/// What an answer says of the rejections that the worker tolerates. Value.
struct tolerance_statement
{
    /// Rejections for want of room in a second, of all VMs' requests together;
    /// nullopt: any number.
    std::optional<std::uint32_t> per_second;
    /// The answer states something that is no number; it changes nothing.
    bool malformed = false;
    friend bool operator==(tolerance_statement const&,
                           tolerance_statement const&) = default;
};

/// What the status line and headers of a worker's answer state.
struct worker_reply
{
    int status = 0;
    /// The answer carries the id of another request and must not be used.
    bool mismatched = false;
    /// The worker states that it did not run the request and never will.
    bool not_run = false;
    /// The answer came from another worker than the addressed one.
    bool other_worker = false;
    /// The worker lacks the model, the adapter or the requested version.
    bool lacks_model = false;
    /// The answer carries the worker's proof of origin.
    bool sealed = false;
    bool event_stream = false;
    /// An intermediary encoded the body, so that it is not the worker's own.
    bool encoded = false;
    /// The worker rejected the request and wants no requests from this VM for
    /// this long.
    std::optional<duration> backoff;
    /// The worker states that it shuts down, even if the registry does not list
    /// it as draining.
    bool leaving = false;
    limit_statement limit;
    tolerance_statement tolerance;
};

/// What an order tells a worker to do with an adapter or a model.
enum class order_kind
{
    load,
    unload
};

struct worker_order
{
    order_kind kind = order_kind::load;
    base_model_id model;
    /// Empty for an order about the model itself.
    adapter_id adapter;
    worker_id worker;
    /// Number of orders that the worker must have accepted before this one;
    /// otherwise the worker reports a conflict.
    std::uint64_t expected_sequence = 0;
    vm_id holder;
    fencing_number fence;
    /// Version of the adapter to load; 0 for the newest.
    adapter_version version;
    friend bool operator==(worker_order const&, worker_order const&) = default;
};

enum class order_outcome
{
    /// The worker accepted the order and carries it out.
    accepted,
    /// The worker's state is already as ordered.
    already_applied,
    /// Another order is in progress, or `expected_sequence` differs.
    conflict,
    /// The worker has seen a higher fencing token.
    fenced,
    /// The order is malformed or impossible.
    refused,
    /// Another worker answered at this address.
    other_worker,
    /// No answer arrived; the worker may still carry out the order at any later
    /// time.
    unknown,
    /// The answer may be one to an earlier order; else like unknown.
    undecided
};

/// A worker's state as reported by the worker; up to some hundred milliseconds
/// old.
struct worker_report
{
    worker_start started;
    std::uint64_t sequence = 0;
    bool busy = false;
    std::map<base_model_id, std::map<adapter_id, adapter_version>> models;
    /// Adapters that are being loaded.
    std::vector<model_target> loading_adapters;
};

} // namespace mulberry

#endif
