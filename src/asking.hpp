/// How a door hands a request to the core: the one order of steps in which no
/// asker is forgotten and none answered twice.
#ifndef MULBERRY_ASKING_HPP
#define MULBERRY_ASKING_HPP

#include "answer_board.hpp"
#include "event_sink.hpp"
#include "http_server.hpp"

#include <memory>

namespace mulberry
{

/// Puts `who` on the board under `id` and offers the event. With the core's
/// ring full the asker is answered as overloaded at once, not run; when its
/// connection closes first, the core is told. False, with nothing done, if an
/// answer of that id is outstanding already. Thread safe; `sink` and `answers`
/// outlive the connection.
bool ask(event_sink& sink, answer_board& answers, request_id const& id,
         std::shared_ptr<asker> who, std::shared_ptr<http_answer> const& out,
         core_event event);

} // namespace mulberry

#endif
