/// What the shell reports of an attempt at a back end.
#ifndef MULBERRY_ATTEMPT_EVENT_HPP
#define MULBERRY_ATTEMPT_EVENT_HPP

#include "action.hpp"
#include "ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mulberry
{

/// How far an attempt had got when it failed.
enum class failure_stage
{
    /// No byte of the request was written.
    not_sent,
    /// The back end answered with an error before anything ran: its status
    /// says so (400, 404, 409, 412, 429, 503 of an engine; see PROTOCOLS.md).
    refused,
    /// Written, at least in part, and nothing is known of it.
    sent,
    /// The answer had begun and broke off.
    answering
};

/// One event of an engine's stream (or, from a peer, of its answer).
struct attempt_chunk
{
    attempt_id attempt;
    std::uint64_t offset = 0;
    /// The engine name that the event says ran, and the request it echoes.
    engine_name name;
    request_id request;
    std::string payload;
    /// It has a finish_reason: the answer's text ends with it.
    bool last = false;
};

/// The stream ended properly: `[DONE]` was seen.
struct attempt_end
{
    attempt_id attempt;
};

struct attempt_failure
{
    attempt_id attempt;
    failure_stage stage = failure_stage::sent;
    /// The HTTP status of a refusal, else 0.
    int status = 0;
    /// The engine's or the peer's code: `model_not_loaded`,
    /// `old_fencing_number`; from a peer the name of an error kind.
    std::string code;
    std::string text;
    /// From a peer: its whole error, to be passed on.
    std::optional<error> peer_error;
};

/// A plain service's answer arrived whole.
struct service_attempt_answer
{
    attempt_id attempt;
    service_answer answer;
};

/// A load or unload order is over.
struct order_result
{
    enum class outcome
    {
        done,
        /// Refused with certainty: not loaded, or still loaded.
        refused,
        /// No answer: the order may take effect at any later time.
        unknown
    };
    order_id order;
    outcome what = outcome::unknown;
    int status = 0;
    std::string code;
};

/// A worker's load report. It speaks of the past: `as_of` is the moment on
/// this VM's clock that it is known to be no older than.
struct engine_report
{
    struct adapter_load
    {
        engine_name name;
        std::size_t running = 0;
    };
    worker_id worker;
    boot_id boot;
    time_point as_of{};
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::vector<adapter_load> adapters;
};

} // namespace mulberry

#endif
