#include "completion_request.hpp"

#include "json_text.hpp"
#include "placement.hpp"

#include <charconv>
#include <memory>
#include <optional>
#include <string>

namespace mulberry
{
namespace
{

/// Prompts that agree in this many leading bytes share a prefix cache key.
constexpr std::size_t prefix_key_bytes = 256;
constexpr std::size_t max_application_bytes = 128;

error bad_request_error(std::string text)
{
    return {error_kind::bad_request, std::move(text)};
}

std::optional<long long> parse_integer(std::string const& text)
{
    long long value = 0;
    auto const* end = text.data() + text.size();
    auto const [stop, fault] = std::from_chars(text.data(), end, value);
    if (text.empty() || fault != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

/// Returns the prompt text from which the prefix cache key is computed, or
/// nothing if the prompt has an unsupported form.
std::optional<std::string> find_prompt(Json::Value const& body,
                                       model_endpoint endpoint)
{
    if (endpoint == model_endpoint::completions)
    {
        if (!body["prompt"].isString())
            return std::nullopt;
        return body["prompt"].asString();
    }
    Json::Value const& messages = body["messages"];
    if (!messages.isArray() || messages.empty())
        return std::nullopt;
    std::string all;
    for (Json::Value const& message : messages)
    {
        if (!message.isObject() || !message["role"].isString() ||
            !message["content"].isString())
            return std::nullopt;
        all += message["content"].asString();
        all += '\n';
    }
    return all;
}

std::optional<error> check_body(Json::Value const& body,
                                request_limits const& limits)
{
    if (!body["model"].isString())
        return bad_request_error("`model` must be a string: ADAPTER@VERSION");
    if (body.isMember("stream") && !body["stream"].isBool())
        return bad_request_error("`stream` must be true or false");
    if (body.isMember("n") && body["n"] != Json::Value(1))
        return bad_request_error("`n` must be 1");
    if (!body.isMember("max_tokens"))
        return std::nullopt;
    if (!body["max_tokens"].isUInt64() || body["max_tokens"].asUInt64() == 0 ||
        body["max_tokens"].asUInt64() > limits.max_tokens)
        return bad_request_error(
            "`max_tokens` must be a whole number from 1 to " +
            std::to_string(limits.max_tokens));
    return std::nullopt;
}

} // namespace

std::variant<time_point, error> parse_deadline(http_request const& request,
                                               request_limits const& limits,
                                               time_point now)
{
    auto const header = request.headers.find("X-Deadline-Ms");
    if (!header)
        return now + limits.default_deadline;
    auto const max_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            limits.max_deadline)
                            .count();
    auto const ms = parse_integer(*header);
    if (!ms || *ms < 1 || *ms > max_ms)
        return error(error_kind::bad_deadline,
                     "X-Deadline-Ms must be a whole number from 1 to " +
                         std::to_string(max_ms));
    return now + std::chrono::milliseconds(*ms);
}

std::variant<model_request, error>
parse_completion(http_request const& request, model_endpoint endpoint,
                 request_limits const& limits, time_point now)
{
    auto parsed = from_text(request.body);
    if (!parsed || !parsed->isObject())
        return bad_request_error("the body must be a JSON object");
    Json::Value& body = *parsed;
    if (auto fault = check_body(body, limits))
        return *fault;
    auto const adapter = parse_adapter_ref(body["model"].asString());
    if (!adapter)
        return error(error_kind::unknown_model,
                     "`model` must name an adapter and its version: "
                     "ADAPTER@VERSION");
    auto const prompt = find_prompt(body, endpoint);
    if (!prompt)
        return bad_request_error(
            endpoint == model_endpoint::chat
                ? "`messages` must be a list of objects with the strings "
                  "`role` and `content`"
                : "`prompt` must be a string");
    auto const deadline = parse_deadline(request, limits, now);
    if (auto const* fault = std::get_if<error>(&deadline))
        return *fault;
    model_request result;
    if (auto const header = request.headers.find("X-Priority"))
    {
        auto const priority = parse_integer(*header);
        if (!priority || *priority < min_priority || *priority > max_priority)
            return bad_request_error(
                "X-Priority must be a whole number from 0 to 9");
        result.priority = static_cast<int>(*priority);
    }
    std::string const application =
        request.headers.find("X-Application").value_or("");
    if (application.size() > max_application_bytes)
        return bad_request_error("X-Application is too long");
    result.application = application_id(application);
    result.adapter = *adapter;
    result.endpoint = endpoint;
    result.streamed = flag_or(body, "stream", false);
    result.arrived = now;
    result.deadline = std::get<time_point>(deadline);
    result.prefix_key = stable_hash(prompt->substr(0, prefix_key_bytes));
    result.max_tokens = number_or(body, "max_tokens", result.max_tokens);
    body.removeMember("model");
    body.removeMember("stream");
    body.removeMember("priority");
    result.body = std::make_shared<std::string const>(to_text(body));
    return result;
}

} // namespace mulberry
