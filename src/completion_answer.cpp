#include "completion_answer.hpp"

#include "error_page.hpp"
#include "json_text.hpp"

#include <cctype>
#include <utility>

namespace mulberry
{
namespace
{

/// The connection of a slow caller is aborted when this much unsent data has
/// accumulated, to bound memory use.
constexpr std::size_t max_unsent_bytes = 4UL * 1024 * 1024;

/// Finds the first string in `text` that is `head`, `mark` and digits, and
/// removes `mark` and the digits: "ADAPTER@VERSION#12" becomes
/// "ADAPTER@VERSION".
void remove_numeric_suffix(std::string& text, std::string const& head,
                           char mark)
{
    std::string const wanted = '"' + head + mark;
    auto const at = text.find(wanted);
    if (at == std::string::npos)
        return;
    auto const from = at + wanted.size() - 1;
    auto end = from + 1;
    while (end < text.size() &&
           std::isdigit(static_cast<unsigned char>(text[end])) != 0)
        ++end;
    if (end < text.size() && text[end] == '"')
        text.erase(from, end - from);
}

} // namespace

std::string caller_payload(std::string payload, adapter_ref const& adapter,
                           request_id const& id)
{
    remove_numeric_suffix(payload, adapter.str(), '#');
    remove_numeric_suffix(payload, id.str(), '.');
    return payload;
}

streamed_answer::streamed_answer(request_id id, adapter_ref adapter,
                                 std::shared_ptr<http_answer> out)
    : id_(std::move(id)), adapter_(std::move(adapter)), out_(std::move(out))
{
}

void streamed_answer::on_event(std::uint64_t, std::string const& payload)
{
    if (!stream_started_)
    {
        stream_started_ = true;
        http_headers headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("Cache-Control", "no-cache");
        headers.add("X-Request-Id", id_.str());
        out_->start_stream(200, std::move(headers));
    }
    if (out_->unsent_bytes() > max_unsent_bytes)
    {
        out_->abort();
        return;
    }
    out_->write("data: " + caller_payload(payload, adapter_, id_) + "\n\n");
}

void streamed_answer::on_end()
{
    if (!stream_started_)
    {
        on_error(error(error_kind::answer_cut, "the answer had no events",
                       ran::yes));
        return;
    }
    out_->write("data: [DONE]\n\n");
    out_->finish();
}

void streamed_answer::on_error(error const& what)
{
    if (!stream_started_)
    {
        out_->respond(error_page(what, id_.str()));
        return;
    }
    // The stream ends without [DONE] and without the last HTTP chunk, so that
    // no client treats the partial answer as complete.
    out_->write("event: error\ndata: " + error_text(what, id_.str()) + "\n\n");
    out_->abort();
}

void streamed_answer::on_service_answer(service_answer const&, bool) {}

buffered_answer::buffered_answer(request_id id, adapter_ref adapter,
                                 model_endpoint endpoint,
                                 std::shared_ptr<http_answer> out)
    : id_(std::move(id)), adapter_(std::move(adapter)), endpoint_(endpoint),
      out_(std::move(out))
{
}

void buffered_answer::on_event(std::uint64_t, std::string const& payload)
{
    auto const event = from_text(payload);
    if (!event || !event->isObject())
        return;
    Json::Value const& choice = (*event)["choices"][0];
    if (choice["delta"].isObject())
        text_ += text_or(choice["delta"], "content", "");
    else
        text_ += text_or(choice, "text", "");
    finish_reason_ = text_or(choice, "finish_reason", finish_reason_);
    if ((*event)["usage"].isObject())
        usage_ = to_text((*event)["usage"]);
}

void buffered_answer::on_end()
{
    bool const chat = endpoint_ == model_endpoint::chat;
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = finish_reason_;
    if (chat)
    {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = text_;
    }
    else
        choice["text"] = text_;
    Json::Value body;
    body["id"] = id_.str();
    body["object"] = chat ? "chat.completion" : "text_completion";
    body["model"] = adapter_.str();
    body["choices"].append(std::move(choice));
    if (auto const usage = from_text(usage_))
        body["usage"] = *usage;
    http_response response = json_response(200, to_text(body));
    response.headers.add("X-Request-Id", id_.str());
    out_->respond(std::move(response));
}

void buffered_answer::on_error(error const& what)
{
    out_->respond(error_page(what, id_.str()));
}

void buffered_answer::on_service_answer(service_answer const&, bool) {}

} // namespace mulberry
