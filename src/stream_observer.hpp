/// Converts a server-sent event stream of an engine or peer to attempt events.
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

/// Converts the stage at which the HTTP client reports a failed call. The
/// result says whether the call may have had an effect.
failure_stage to_failure_stage(call_stage stage);

/// Posts an attempt_chunk for each event, and finally an attempt_end after
/// `[DONE]` or an attempt_failure.
///
/// Thread safety: used on the HTTP client's thread only.
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
