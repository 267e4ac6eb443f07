#include "probe.hpp"

#include "json_text.hpp"
#include "token_text.hpp"

#include <json/value.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::size_t max_event_bytes = 1 << 20;
/// A caller waits a little longer than the deadline that it named.
constexpr std::chrono::seconds patience{2};
constexpr int status_ok = 200;

std::string text_of(Json::Value const& answer)
{
    if (!answer.isObject() || !answer["choices"].isArray() ||
        answer["choices"].empty())
        return "";
    return text_or(answer["choices"][0], "text", "");
}

} // namespace

char const* name_of(probe_verdict verdict)
{
    switch (verdict)
    {
    case probe_verdict::whole:
        return "whole";
    case probe_verdict::wrong:
        return "wrong";
    case probe_verdict::refused:
        return "refused";
    case probe_verdict::told_cut:
        return "told-cut";
    case probe_verdict::lost:
        return "lost";
    }
    return "lost";
}

probe::probe(probe_request request, report done)
    : done_(std::move(done)), sent_(clock::now()), last_bytes_(sent_),
      parser_(max_event_bytes)
{
    result_.request = std::move(request);
    result_.sent_at = std::chrono::system_clock::now();
}

void probe::on_status(int status, http_headers const& headers)
{
    result_.status = status;
    if (auto const after = headers.find("Retry-After"))
    {
        int seconds = 0;
        std::from_chars(after->data(), after->data() + after->size(), seconds);
        result_.retry_after = std::chrono::seconds(seconds);
    }
}

void probe::note_bytes()
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    clock::time_point const now = clock::now();
    if (result_.first_event.count() == 0)
        result_.first_event = duration_cast<microseconds>(now - sent_);
    else
        result_.longest_silence =
            std::max(result_.longest_silence,
                     duration_cast<microseconds>(now - last_bytes_));
    last_bytes_ = now;
}

void probe::on_data(std::string_view data)
{
    if (!result_.request.streamed || result_.status != status_ok)
    {
        note_bytes();
        body_ += data;
        return;
    }
    for (sse_event const& event : parser_.feed(data))
    {
        note_bytes();
        take_event(event);
    }
}

void probe::take_event(sse_event const& event)
{
    if (event.event == "error")
    {
        told_error_ = true;
        read_error(event.data);
    }
    else if (event.data == "[DONE]")
        ended_properly_ = true;
    else if (auto const value = from_text(event.data))
        text_ += text_of(*value);
}

void probe::read_error(std::string_view body)
{
    if (auto const value = from_text(body))
        if (value->isObject())
            result_.error_kind = text_or((*value)["error"], "kind", "");
}

void probe::read_whole_answer()
{
    if (auto const value = from_text(body_))
        text_ = text_of(*value);
    ended_properly_ = true;
}

bool probe::text_is_right() const
{
    standins::token_text const expected(result_.request.model,
                                        result_.request.prompt);
    std::string text;
    for (std::size_t n = 0; n < result_.request.tokens; ++n)
        text += expected.token(n);
    return text_ == text;
}

void probe::on_end()
{
    if (result_.status != status_ok)
    {
        read_error(body_);
        finish(probe_verdict::refused);
        return;
    }
    if (!result_.request.streamed)
        read_whole_answer();
    if (told_error_)
        finish(text_.empty() ? probe_verdict::refused
                             : probe_verdict::told_cut);
    else if (!ended_properly_)
        finish(probe_verdict::lost);
    else
        finish(text_is_right() ? probe_verdict::whole : probe_verdict::wrong);
}

void probe::on_failure(call_stage stage, std::string const& text)
{
    result_.error_kind = stage == call_stage::not_sent ? "not-sent" : text;
    // An error event is followed by the end of the connection.
    if (told_error_)
        finish(text_.empty() ? probe_verdict::refused
                             : probe_verdict::told_cut);
    else
        finish(probe_verdict::lost);
}

void probe::finish(probe_verdict verdict)
{
    result_.verdict = verdict;
    result_.whole = std::chrono::duration_cast<std::chrono::microseconds>(
        clock::now() - sent_);
    done_(std::move(result_));
}

http_call call_of(probe_request const& request)
{
    Json::Value body;
    body["model"] = request.target.engine_name.empty()
                        ? request.model
                        : request.target.engine_name;
    body["prompt"] = request.prompt;
    body["max_tokens"] = Json::UInt64(request.tokens);
    body["stream"] = request.streamed;
    http_call call;
    call.method = "POST";
    call.url = request.target.url + "/v1/completions";
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Deadline-Ms", std::to_string(request.deadline.count()));
    call.body = to_text(body);
    // Callers keep their connections, as the balancer does.
    call.repeatable = true;
    call.deadline =
        std::chrono::steady_clock::now() + request.deadline + patience;
    return call;
}

} // namespace mulberry
