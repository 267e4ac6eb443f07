/// What VMs say to each other: an entry VM asks the VM that gives a worker its
/// orders to have an adapter there, and tells it when requests are over.
///
///   POST /peer   {"service", "worker", "model", "adapter", "priority",
///                 "left_ms", "request", "excluded": [ID, ...], "tokens": 9190,
///                 "prefix": [KEY, TOKENS], "elsewhere_ms": 320,
///                 "objective_ms": 540,
///                 "done": [[GRANT, OUTCOME], ...],
///                 "crashes": [[DIGEST, WORKER, STARTED,
///                               SENT_MS_AGO, SEEN_MS_AGO], ...],
///                 "answered": [DIGEST, ...]}
///   200          {"granted": true, "grant": N, "worker": ID, "version": N}
///
/// The head of the answer comes at once, the rest when the adapter is there
/// and the worker has room, or when that is not to be. A call without a worker
/// only tells what is over and which requests were in progress at workers that
/// crashed; see crash_keeper.hpp.
#ifndef MULBERRY_PEER_GRANT_REQUEST_HPP
#define MULBERRY_PEER_GRANT_REQUEST_HPP

#include "crash_keeper.hpp"
#include "ids.hpp"
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

/// May I send a request for this adapter to this worker? Value.
struct peer_grant_request
{
    service_id service;
    worker_id worker;
    model_target target;
    int priority = 0;
    /// How long the request may still wait; its receiver makes a deadline.
    duration time_left{};
    /// The caller's id of the request, for the logs of both VMs.
    request_id request;
    /// Workers that it may not be sent to: tried before.
    std::set<worker_id> excluded;
    std::uint32_t prompt_tokens = 0;
    shared_prefix prefix;
    /// How long it may take to begin and be on time; 0 when that is over.
    std::optional<duration> objective_left;
    /// After how long it would begin at another worker that the VM knows of;
    /// absent if there is none.
    std::optional<duration> start_delay_elsewhere;
    friend bool operator==(peer_grant_request const&,
                           peer_grant_request const&) = default;
};

/// A request that was sent under a grant is over. Value.
struct peer_completion
{
    std::uint64_t grant = 0;
    /// How it ended at its worker, as the VM saw that sent it.
    send_outcome outcome = send_outcome::served;
    friend bool operator==(peer_completion const&,
                           peer_completion const&) = default;
};

struct peer_call
{
    std::optional<peer_grant_request> ask;
    std::vector<peer_completion> done;
    /// Moments are told as ages: the clocks of two VMs have different epochs.
    crash_news crashes;
    friend bool operator==(peer_call const&, peer_call const&) = default;
};

struct peer_reply
{
    bool granted = false;
    std::uint64_t grant = 0;
    /// The worker to send to; it need not be the one that was asked for.
    worker_id worker;
    /// Of the adapter's copy there; 0 where that is not known.
    adapter_version version;
    friend bool operator==(peer_reply const&, peer_reply const&) = default;
};

/// A whole HTTP request.
std::string encode_peer_call(peer_call const& message, std::string const& host,
                             time_point now);
/// Nothing when the text is no such message.
std::optional<peer_call> decode_peer_call(std::string const& body,
                                          time_point now);
std::string encode_peer_reply(peer_reply const& reply);
std::optional<peer_reply> decode_peer_reply(std::string const& body);

} // namespace mulberry

#endif
