/// Messages between an entry VM and the owner of a worker: the entry VM
/// requests a grant to send a request for an adapter to the worker, and reports
/// when requests have ended.
///
///   POST /peer   {"service", "worker", "model", "adapter", "priority",
///                 "left_ms", "request", "excluded": [ID, ...], "tokens": 9190,
///                 "prefix": [KEY, TOKENS], "elsewhere_ms": 320,
///                 "objective_ms": 540, "software": [VERSION, ...],
///                 "team": TEAM, "answer_tokens": 70, "continues": true,
///                 "done": [[GRANT, OUTCOME], ...],
///                 "crashes": [[DIGEST, WORKER, STARTED,
///                               SENT_MS_AGO, SEEN_MS_AGO], ...],
///                 "answered": [DIGEST, ...], "confirmed": [DIGEST, ...],
///                 "cleared": [as "crashes"], "asked": [DIGEST, ...],
///                 "rejected": [[WORKER, TOLERATED, WITHIN_SHARE], ...]}
///   200          {"granted": true, "grant": N, "worker": ID, "version": N,
///                 "parts": [[DIGEST, ANSWERED_MS_AGO], ...]}
///
/// The head of the answer is sent at once, the body when the adapter is loaded
/// and the worker has capacity, or when the grant is refused. A call without a
/// worker only reports which requests have ended and which were in progress at
/// workers that crashed; see crash_replicator.hpp.
#ifndef MULBERRY_PEER_GRANT_REQUEST_HPP
#define MULBERRY_PEER_GRANT_REQUEST_HPP

#include "crash_replicator.hpp"
#include "ids.hpp"
#include "rejection_guard.hpp"
#include "relay_request.hpp"
#include "time_point.hpp"
#include "worker_health.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

inline constexpr char const* peer_path = "/peer";

/// Requests a grant to send one request for an adapter to a worker. Value.
struct peer_grant_request
{
    service_id service;
    worker_id worker;
    model_target target;
    int priority = 0;
    /// How long the request may still wait; the receiver converts this to a
    /// deadline.
    duration time_left{};
    /// The caller's id of the request, logged by both VMs.
    request_id request;
    /// Workers that were tried before and must not be chosen again.
    std::set<worker_id> excluded;
    std::uint32_t prompt_tokens = 0;
    shared_prefix prefix;
    /// Time left until the request's service-level objective for its start; 0
    /// if that is past, absent if there is no objective.
    std::optional<duration> objective_left;
    /// Estimated delay until the request could start at another worker that the
    /// sender knows of; absent if there is none.
    std::optional<duration> start_delay_elsewhere;
    /// Versions of the workers' software that the request may run at; absent:
    /// any.
    std::optional<std::set<software_version>> software;
    /// The team that sent the request; empty without teams.
    team_id team;
    /// Maximum number of tokens of the answer; 0 if unknown.
    std::uint32_t answer_tokens = 0;
    /// The request goes on with a stream that has begun at `software`.
    bool continues_stream = false;
    friend bool operator==(peer_grant_request const&,
                           peer_grant_request const&) = default;
};

/// Reports that a request that was sent under a grant has ended. Value.
struct peer_completion
{
    std::uint64_t grant = 0;
    /// How the request ended at its worker, as seen by the VM that sent it.
    send_outcome outcome = send_outcome::served;
    friend bool operator==(peer_completion const&,
                           peer_completion const&) = default;
};

struct peer_call
{
    std::optional<peer_grant_request> ask;
    std::vector<peer_completion> done;
    /// Times are sent as ages, because the clocks of two VMs have different
    /// epochs.
    crash_update crashes;
    /// Parts of prompts of which the sender wants to know when workers last
    /// answered requests with them.
    std::vector<request_digest> asked_parts;
    /// Rejections of the sender's requests by brittle workers.
    std::vector<rejection_notice> rejections;
    friend bool operator==(peer_call const&, peer_call const&) = default;
};

struct peer_reply
{
    bool granted = false;
    std::uint64_t grant = 0;
    /// The worker to send to; may differ from the requested worker.
    worker_id worker;
    /// Version of the adapter's copy at the worker; 0 if unknown.
    adapter_version version;
    std::vector<part_answer> part_answers;
    friend bool operator==(peer_reply const&, peer_reply const&) = default;
};

/// Returns a complete HTTP request. `now` is the time that ages are counted
/// from.
std::string encode_peer_call(peer_call const& message, std::string const& host,
                             time_point now);
/// Returns nullopt if the text is malformed. Ages are subtracted from `now`.
std::optional<peer_call> decode_peer_call(std::string const& body,
                                          time_point now);
std::string encode_peer_reply(peer_reply const& reply, time_point now);
std::optional<peer_reply> decode_peer_reply(std::string const& body,
                                            time_point now);

} // namespace mulberry

#endif
