#include "stream_observer.hpp"

#include "json_text.hpp"
#include "peer_codec.hpp"

#include <utility>

namespace mulberry
{
namespace
{

constexpr std::size_t max_event_bytes = 1024UL * 1024;
constexpr std::size_t max_error_body_bytes = 64UL * 1024;

/// Returns whether `status` means that the engine or peer did not run the
/// request. After any other error status, the request may have run.
bool is_rejection(int status)
{
    return (status >= 400 && status < 500 && status != 408) || status == 503;
}

bool has_finish_reason(Json::Value const& event)
{
    Json::Value const& choices = event["choices"];
    if (!choices.isArray() || choices.empty() || !choices[0].isObject())
        return false;
    return choices[0]["finish_reason"].isString();
}

} // namespace

failure_stage to_failure_stage(call_stage stage)
{
    switch (stage)
    {
    case call_stage::not_sent:
        return failure_stage::not_sent;
    case call_stage::sent:
        return failure_stage::sent;
    case call_stage::answering:
        return failure_stage::answering;
    }
    return failure_stage::sent;
}

stream_observer::stream_observer(attempt_id attempt, event_sink& sink,
                                 call_registry& calls)
    : attempt_(attempt), sink_(&sink), calls_(&calls), parser_(max_event_bytes)
{
}

void stream_observer::on_status(int status, http_headers const&)
{
    status_ = status;
}

void stream_observer::on_data(std::string_view data)
{
    if (finished_)
        return;
    if (status_ != 200)
    {
        if (body_.size() + data.size() <= max_error_body_bytes)
            body_.append(data);
        return;
    }
    for (sse_event const& event : parser_.feed(data))
        if (!finished_)
            handle_event(event);
    if (parser_.overflowed() && !finished_)
        fail({attempt_, failure_stage::answering, 0, "event_too_large",
              "an event exceeds the size limit", std::nullopt});
}

void stream_observer::handle_event(sse_event const& event)
{
    if (event.event == "error")
    {
        auto const body = from_text(event.data);
        attempt_failure failure{attempt_,   failure_stage::answering,
                                0,          "error_event",
                                event.data, std::nullopt};
        if (body && body->isObject())
            failure.peer_error = parse_error((*body)["error"]);
        fail(std::move(failure));
        return;
    }
    if (event.data == "[DONE]")
    {
        finished_ = true;
        calls_->ended(attempt_);
        sink_->post(attempt_end{attempt_});
        return;
    }
    auto const value = from_text(event.data);
    if (!value || !value->isObject() || !(*value)["offset"].isUInt64())
    {
        fail({attempt_, failure_stage::answering, 0, "not_an_event",
              "an event is not valid JSON with an `offset`", std::nullopt});
        return;
    }
    event_seen_ = true;
    sink_->post(attempt_chunk{attempt_, (*value)["offset"].asUInt64(),
                              engine_name(text_or(*value, "model", "")),
                              request_id(text_or(*value, "id", "")), event.data,
                              has_finish_reason(*value)});
}

void stream_observer::on_end()
{
    if (finished_)
        return;
    if (status_ != 200)
    {
        fail_with_status();
        return;
    }
    // The response ended without an HTTP error but without [DONE]. The answer
    // may be incomplete, so it is treated as truncated.
    fail({attempt_, failure_stage::answering, 0, "no_done",
          "the stream ended without [DONE]", std::nullopt});
}

void stream_observer::fail_with_status()
{
    attempt_failure failure{attempt_,
                            failure_stage::sent,
                            status_,
                            "",
                            "status " + std::to_string(status_),
                            std::nullopt};
    if (is_rejection(status_))
        failure.stage = failure_stage::refused;
    auto const body = from_text(body_);
    if (body && body->isObject())
    {
        Json::Value const& what = (*body)["error"];
        failure.code = text_or(what, "code", text_or(what, "kind", ""));
        failure.text = text_or(what, "message", failure.text);
        failure.peer_error = parse_error(what);
    }
    fail(std::move(failure));
}

void stream_observer::on_failure(call_stage stage, std::string const& text)
{
    if (finished_)
        return;
    failure_stage const reached =
        event_seen_ ? failure_stage::answering : to_failure_stage(stage);
    fail({attempt_, reached, 0, "connection", text, std::nullopt});
}

void stream_observer::fail(attempt_failure failure)
{
    finished_ = true;
    calls_->ended(attempt_);
    sink_->post(std::move(failure));
}

} // namespace mulberry
