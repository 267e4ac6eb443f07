/// How a listener hands a request to the core: the one order of steps in which
/// no response writer is forgotten and none answered twice.
#ifndef MULBERRY_REQUEST_INTAKE_HPP
#define MULBERRY_REQUEST_INTAKE_HPP

#include "event_sink.hpp"
#include "http_server.hpp"
#include "pending_answers.hpp"

#include <memory>

namespace mulberry
{

/// Puts `who` on the table of pending answers under `id` and offers the event.
/// With the core's ring full the response writer is answered as overloaded at
/// once, not run; when its connection closes first, the core is told. False,
/// with nothing done, if an answer of that id is outstanding already. Thread
/// safe; `sink` and `answers` outlive the connection.
bool submit_request(event_sink& sink, pending_answers& answers,
                    request_id const& id,
                    std::shared_ptr<response_writer> writer,
                    std::shared_ptr<http_answer> const& out, core_event event);

} // namespace mulberry

#endif
