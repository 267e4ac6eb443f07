/// A caller's request on its way through, and what a worker said of it, after
/// the adapter decoded them.
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
    /// Empty for the base model itself.
    adapter_id adapter;
    friend auto operator<=>(model_target const&, model_target const&) = default;
};

/// A part of a prompt. Requests share parts; the last one is a request's own,
/// or its session's.
struct prompt_part
{
    /// The same text has the same id.
    std::string id;
    std::uint32_t tokens = 0;
    friend auto operator<=>(prompt_part const&, prompt_part const&) = default;
};

/// The beginning of a prompt that other requests have in common with it. Value.
struct shared_prefix
{
    /// Of the ids of its parts; 0 for none.
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
    friend bool operator==(shared_prefix const&,
                           shared_prefix const&) = default;
};

/// How much a request asks of an engine, as its caller counted it. Value.
struct prompt_shape
{
    /// Of the whole prompt; 0 when the caller did not say.
    std::uint32_t tokens = 0;
    /// In their order in the prompt.
    std::vector<prompt_part> parts;
    /// The most that its answer may have; 0 when the caller did not say.
    std::uint32_t answer_tokens = 0;
    friend auto operator<=>(prompt_shape const&, prompt_shape const&) = default;
};

/// All parts but the last, which is the request's own.
shared_prefix prefix_of(prompt_shape const& prompt);

/// Tells tries of one request from those of others; each try has an id of its
/// own. Value.
struct request_identity
{
    /// Of what a worker runs: method, host, target, model and body.
    request_digest content;
    /// Of the same together with the caller's address.
    request_digest of_caller;
    friend bool operator==(request_identity const&,
                           request_identity const&) = default;
};

/// What the relay decides on; everything else passes through unchanged.
struct relay_request
{
    /// Of this try of the caller; a caller's own retry has another.
    request_id id;
    std::string host;
    std::string method;
    /// Path and query as received.
    std::string target;
    std::string path;
    /// Without the fields of one connection, those that only the layer may set
    /// and those in `credentials`.
    http_headers headers;
    /// Fields that show or name a team, as received; never logged. They go on
    /// only where there are no teams.
    http_headers credentials;
    /// Of the key that the caller showed, if it showed one.
    std::optional<key_digest> key;
    std::string body;
    /// How much longer the caller waits, as of its arrival.
    std::optional<duration> time_left;
    std::optional<model_target> model;
    prompt_shape prompt;
    /// Where the caller resumes a stream.
    std::optional<std::uint64_t> last_event;
    /// The caller's address; empty where it is not known.
    std::string caller;
};

/// What a request counts against an allotment.
double allotment_cost(relay_request const& request, allotment const& limit);

/// SHA-256, cut to 128 bits. Linear in the body's size.
request_identity identity_of(relay_request const& request);

/// What the layer adds when it sends a request to a worker.
struct send_terms
{
    worker_id worker;
    duration time_left{};
    /// Whose request it is; empty where its route needs no team. Absent where
    /// there are no teams: then what the caller wrote goes on.
    std::optional<team_id> team;
    /// 0 is the most urgent; absent for a plain service.
    std::optional<int> priority;
    /// The worker runs the request on that version of its adapter or refuses
    /// it; 0 for any.
    adapter_version version;
    /// IP:PORT of another worker that may still have the beginning of the
    /// prompt in its memory; the worker copies it instead of reading it.
    std::optional<std::string> copy_prompt_from;
    /// The stream goes on after this event.
    std::optional<std::uint64_t> resume_after;
};

/// What the head of a worker's answer says.
struct worker_reply
{
    int status = 0;
    /// It names the request that was sent.
    bool correlated = false;
    /// It names some other request: the bytes are not the answer.
    bool foreign = false;
    /// The worker states that the request did not run and never will there.
    bool not_run = false;
    /// The worker that answered is not the one that was meant.
    bool other_worker = false;
    /// It does not hold the model, the adapter or its version.
    bool lacks_model = false;
    /// It carries the worker's proof that it made the answer.
    bool sealed = false;
    bool event_stream = false;
    /// The body was encoded on the way and is not the worker's.
    bool encoded = false;
    /// It turned the request away, and wants none from this VM for so long.
    std::optional<duration> rest;
    /// It leaves, whatever the registry lists.
    bool leaving = false;
};

/// An order about an adapter or a model of a worker.
enum class order_kind
{
    load,
    unload
};

struct worker_order
{
    order_kind kind = order_kind::load;
    base_model_id model;
    /// Empty for the model itself.
    adapter_id adapter;
    worker_id worker;
    /// The count of orders that the worker must have accepted before it.
    std::uint64_t expected_sequence = 0;
    vm_id holder;
    fencing_number fence;
    /// Of an adapter that is loaded; 0 for the newest.
    adapter_version version;
    friend bool operator==(worker_order const&, worker_order const&) = default;
};

enum class order_outcome
{
    /// Accepted, being carried out.
    accepted,
    /// Already as ordered.
    holds,
    /// Another order is under way, or the sequence differs.
    conflict,
    /// A higher fencing token was seen.
    fenced,
    /// Malformed or impossible.
    refused,
    /// Another worker has the address.
    other_worker,
    /// No answer: it may be carried out at any later time.
    unknown
};

/// What a worker reports of itself. Some hundred milliseconds old.
struct worker_report
{
    worker_start started;
    std::uint64_t sequence = 0;
    bool busy = false;
    std::map<base_model_id, std::map<adapter_id, adapter_version>> models;
    /// Adapters on their way to the worker.
    std::vector<model_target> coming;
};

} // namespace mulberry

#endif
