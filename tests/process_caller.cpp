#include "process_caller.hpp"

#include "process_child.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <stdexcept>
#include <utility>

namespace mulberry_test
{
namespace
{

/// How long a caller waits beyond the deadline that the request states.
constexpr std::chrono::seconds deadline_margin{10};

std::string to_text(Json::Value const& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

mulberry::http_call common_call(std::string const& method,
                                std::string const& url,
                                std::chrono::milliseconds deadline)
{
    mulberry::http_call made;
    made.method = method;
    made.url = url;
    made.headers.add("X-Deadline-Ms", std::to_string(deadline.count()));
    made.deadline =
        std::chrono::steady_clock::now() + deadline + deadline_margin;
    return made;
}

} // namespace

void request_in_progress::on_status(int status,
                                    mulberry::http_headers const& headers)
{
    std::lock_guard const lock(mutex_);
    seen_.status = status;
    seen_.headers = headers;
    changed_.notify_all();
}

void request_in_progress::on_data(std::string_view data)
{
    std::lock_guard const lock(mutex_);
    seen_.body += data;
    changed_.notify_all();
}

void request_in_progress::on_end()
{
    std::lock_guard const lock(mutex_);
    seen_.ended = true;
    seen_.over_at = std::chrono::steady_clock::now();
    changed_.notify_all();
}

void request_in_progress::on_failure(mulberry::call_stage stage,
                                     std::string const&)
{
    std::lock_guard const lock(mutex_);
    seen_.not_sent = stage == mulberry::call_stage::not_sent;
    seen_.failed = true;
    seen_.over_at = std::chrono::steady_clock::now();
    changed_.notify_all();
}

received_answer request_in_progress::seen() const
{
    std::lock_guard const lock(mutex_);
    return seen_;
}

received_answer request_in_progress::wait()
{
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, 2 * generous_wait,
                           [this] { return seen_.over(); }))
        throw std::runtime_error("a request was never answered");
    return seen_;
}

bool request_in_progress::wait_for(std::string const& text)
{
    auto const has = [&] { return seen_.body.find(text) != std::string::npos; };
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, generous_wait,
                      [&] { return seen_.over() || has(); });
    return has();
}

mulberry::http_call to_http(model_call const& call)
{
    Json::Value body;
    body["model"] = call.adapter;
    body["max_tokens"] = Json::UInt64(call.tokens);
    body["stream"] = call.streamed;
    if (call.chat)
    {
        Json::Value message;
        message["role"] = "user";
        message["content"] = call.prompt;
        body["messages"].append(message);
    }
    else
        body["prompt"] = call.prompt;
    auto made = common_call(
        "POST",
        "http://" + call.address +
            (call.chat ? "/v1/chat/completions" : "/v1/completions"),
        call.deadline);
    made.headers.add("Content-Type", "application/json");
    made.body = to_text(body);
    return made;
}

mulberry::http_call to_http(plain_service_call const& call)
{
    auto made = common_call(call.method,
                            "http://" + call.address + "/services/" + call.path,
                            call.deadline);
    if (!call.key.empty())
        made.headers.add("Idempotency-Key", call.key);
    made.body = "{\"pit\":7}";
    return made;
}

Json::Value parsed(std::string const& body)
{
    Json::Value value;
    std::unique_ptr<Json::CharReader> const reader(
        Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(body.data(), body.data() + body.size(), &value, nullptr))
        return {};
    return value;
}

Json::Value exchange(mulberry::http_client& client, std::string const& method,
                     std::string const& url, Json::Value const& body)
{
    mulberry::http_call call;
    call.method = method;
    call.url = url;
    if (!body.isNull())
        call.body = to_text(body);
    call.deadline = std::chrono::steady_clock::now() + generous_wait;
    auto const result = client.call_and_wait(std::move(call));
    if (result.status != 200)
        throw std::runtime_error(method + " " + url + ": " +
                                 std::to_string(result.status) + " " +
                                 result.body);
    return parsed(result.body);
}

} // namespace mulberry_test
