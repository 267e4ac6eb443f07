#include "peer_ask.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr std::uint64_t longest_wait_ms = 600'000;
constexpr std::size_t most_done = 100'000;

Json::Value ask_json(peer_ask const& ask)
{
    Json::Value json;
    json["service"] = ask.service.str();
    json["worker"] = ask.worker.str();
    json["model"] = ask.target.model.str();
    json["adapter"] = ask.target.adapter.str();
    json["priority"] = ask.priority;
    json["request"] = ask.request.str();
    json["left_ms"] = Json::Int64(
        std::chrono::floor<std::chrono::milliseconds>(ask.time_left).count());
    return json;
}

std::optional<peer_ask> parse_ask(Json::Value const& json)
{
    peer_ask ask;
    ask.service = service_id(text_or(json, "service", ""));
    ask.worker = worker_id(text_or(json, "worker", ""));
    ask.target = {base_model_id(text_or(json, "model", "")),
                  adapter_id(text_or(json, "adapter", ""))};
    ask.priority = json["priority"].isInt() ? json["priority"].asInt() : 0;
    ask.time_left = std::chrono::milliseconds(
        std::min(number_or(json, "left_ms", 0), longest_wait_ms));
    ask.request = request_id(text_or(json, "request", ""));
    if (ask.service.empty() || ask.target.model.empty() ||
        ask.target.adapter.empty())
        return std::nullopt;
    return ask;
}

} // namespace

std::string encode_peer_call(peer_call const& message, std::string const& host)
{
    Json::Value json(Json::objectValue);
    if (message.ask)
        json = ask_json(*message.ask);
    for (peer_done const& done : message.done)
    {
        Json::Value pair(Json::arrayValue);
        pair.append(Json::UInt64(done.grant));
        pair.append(done.not_held ? 1 : 0);
        json["done"].append(std::move(pair));
    }
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       peer_path, host, body.size(), body);
}

std::optional<peer_call> decode_peer_call(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject())
        return std::nullopt;
    peer_call message;
    if (json->isMember("worker"))
    {
        message.ask = parse_ask(*json);
        if (!message.ask)
            return std::nullopt;
    }
    Json::Value const& done = (*json)["done"];
    if (!done.isNull() && (!done.isArray() || done.size() > most_done))
        return std::nullopt;
    for (Json::Value const& pair : done)
    {
        if (!pair.isArray() || pair.size() != 2 || !pair[0].isUInt64() ||
            !pair[1].isInt())
            return std::nullopt;
        message.done.push_back({pair[0].asUInt64(), pair[1].asInt() != 0});
    }
    return message;
}

std::string encode_peer_reply(peer_reply const& reply)
{
    Json::Value json;
    json["granted"] = reply.granted;
    json["grant"] = Json::UInt64(reply.grant);
    json["worker"] = reply.worker.str();
    json["load"] = reply.load;
    return to_text(json);
}

std::optional<peer_reply> decode_peer_reply(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject() || !(*json)["granted"].isBool() ||
        !(*json)["load"].isNumeric())
        return std::nullopt;
    return peer_reply{(*json)["granted"].asBool(), number_or(*json, "grant", 0),
                      worker_id(text_or(*json, "worker", "")),
                      (*json)["load"].asDouble()};
}

} // namespace mulberry
