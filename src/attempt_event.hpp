/// Events that the shell reports about attempts, orders and engine load.
#ifndef MULBERRY_ATTEMPT_EVENT_HPP
#define MULBERRY_ATTEMPT_EVENT_HPP

#include "action.hpp"
#include "ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mulberry
{

/// How far an attempt had progressed when it failed.
enum class failure_stage
{
    /// No byte of the request was written.
    not_sent,
    /// The back end refused the request before anything ran, as its status
    /// shows (400, 404, 409, 412, 429, 503 of an engine; see PROTOCOLS.md).
    refused,
    /// The request was written, at least in part, and its fate is unknown.
    sent,
    /// The answer began and broke off.
    answering
};

/// One event of an engine's answer stream, or of an answer passed on by a peer.
struct attempt_chunk
{
    attempt_id attempt;
    std::uint64_t offset = 0;
    /// The engine name and the request that the event echoes.
    engine_name name;
    request_id request;
    std::string payload;
    /// Whether the event has a finish_reason, which ends the answer's text.
    bool last = false;
};

/// The stream ended with `[DONE]`.
struct attempt_end
{
    attempt_id attempt;
};

/// An attempt failed or was refused.
struct attempt_failure
{
    attempt_id attempt;
    failure_stage stage = failure_stage::sent;
    /// The HTTP status of a refusal, otherwise 0.
    int status = 0;
    /// The engine's error code, such as `model_not_loaded` or
    /// `old_fencing_number`; from a peer the name of an error kind.
    std::string code;
    std::string text;
    /// From a peer: its complete error, to be passed on.
    std::optional<error> peer_error;
};

/// The complete answer of a service's backend server arrived.
struct service_attempt_answer
{
    attempt_id attempt;
    service_answer answer;
};

/// The outcome of a load or unload order.
struct order_result
{
    enum class outcome
    {
        done,
        /// Refused: the order certainly had no effect and will have none.
        refused,
        /// No answer: the order may take effect at any later time.
        unknown
    };
    order_id order;
    outcome what = outcome::unknown;
    /// The HTTP status of a refusal, otherwise 0.
    int status = 0;
    std::string code;
};

/// A worker's load report. It shows the worker at some moment not before
/// `as_of` on this VM's clock.
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
