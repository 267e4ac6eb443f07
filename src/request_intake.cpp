#include "request_intake.hpp"

#include <utility>

namespace mulberry
{

bool submit_request(event_sink& sink, pending_answers& answers,
                    request_id const& id,
                    std::shared_ptr<response_writer> writer,
                    std::shared_ptr<http_answer> const& out, core_event event)
{
    // Add the writer before offering the event: the core may answer before
    // this function returns, and must find the writer.
    if (!answers.add(id, std::move(writer)))
        return false;
    if (!sink.offer(std::move(event)))
    {
        if (auto const refused = answers.take(id))
            refused->on_error(error(error_kind::overloaded,
                                    "this VM's queue of events is full"));
        return true;
    }
    // take() returns the writer only once, so either the core answers the
    // request or this handler reports the closed connection, never both.
    out->on_closed(
        [&sink, &answers, id]
        {
            if (answers.take(id))
                sink.post(client_disconnected{id});
        });
    return true;
}

} // namespace mulberry
