/// Reads a stream of events, from an engine or a peer, into attempt events.
#ifndef MULBERRY_STREAM_OBSERVER_HPP
#define MULBERRY_STREAM_OBSERVER_HPP

#include "call_registry.hpp"
#include "event_sink.hpp"
#include "http_client.hpp"
#include "ids.hpp"
#include "sse_parser.hpp"

#include <string>

namespace mulberry
{

/// How far a failed call may have had an effect, from the stage the client
/// reports.
failure_stage to_failure_stage(call_stage stage);

/// Posts attempt_chunk for each event, then attempt_end after `[DONE]` or
/// attempt_failure. Used on the client's thread only.
class stream_observer : public http_call_observer
{
public:
    stream_observer(attempt_id attempt, event_sink& sink, call_registry& calls);

    void on_status(int status, http_headers const& headers) override;
    void on_data(std::string_view data) override;
    void on_end() override;
    void on_failure(call_stage stage, std::string const& text) override;

private:
    void handle_event(sse_event const& event);
    void fail(attempt_failure failure);
    void fail_with_status();

    attempt_id attempt_;
    event_sink* sink_;
    call_registry* calls_;
    sse_parser parser_;
    int status_ = 0;
    std::string body_;
    bool event_seen_ = false;
    bool finished_ = false;
};

} // namespace mulberry

#endif
