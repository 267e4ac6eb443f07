/// Passes a listener's request to the core. The order of the steps ensures that
/// no response writer is left without an answer or answered twice.
#ifndef MULBERRY_REQUEST_INTAKE_HPP
#define MULBERRY_REQUEST_INTAKE_HPP

#include "event_sink.hpp"
#include "http_server.hpp"
#include "pending_answers.hpp"

#include <memory>

namespace mulberry
{

/// Adds `writer` to `answers` under `id` and offers `event` to the core. If the
/// core's event queue is full, `writer` gets the error `overloaded` at once and
/// the request does not run. If the connection closes before the answer, the
/// core receives `client_disconnected`. Returns false, and does nothing, if
/// `id` already has a pending answer.
///
/// Preconditions: `sink` and `answers` outlive the connection.
///
/// Thread safety: may be called from any thread.
bool submit_request(event_sink& sink, pending_answers& answers,
                    request_id const& id,
                    std::shared_ptr<response_writer> writer,
                    std::shared_ptr<http_answer> const& out, core_event event);

} // namespace mulberry

#endif
