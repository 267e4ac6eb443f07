#include "peer_streams.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace mulberry
{
namespace
{

constexpr Json::ArrayIndex record_fields = 3;
constexpr Json::ArrayIndex max_records = 10'000;
constexpr Json::ArrayIndex max_versions = 1'000;
/// Longer than any stream.
constexpr std::uint64_t max_left_ms = 3'600'000;

Json::Int64 ms_left(time_point until, time_point now)
{
    duration const left = std::max<duration>(until - now, duration(0));
    return std::chrono::floor<std::chrono::milliseconds>(left).count();
}

bool is_record(Json::Value const& json)
{
    return json.isArray() && json.size() == record_fields &&
           json[0].isString() && json[1].isString() && json[2].isUInt64();
}

bool is_version_list(Json::Value const& json)
{
    return json.isArray() && json.size() <= max_versions &&
           std::all_of(json.begin(), json.end(),
                       [](Json::Value const& each) { return each.isString(); });
}

/// Reads an optional text. Returns false if the member has another type.
template <class Id>
bool read_text(Json::Value const& json, char const* key,
               std::optional<Id>& into)
{
    if (!json.isMember(key))
        return true;
    if (!json[key].isString())
        return false;
    into = Id(json[key].asString());
    return true;
}

} // namespace

std::string encode_stream_message(stream_message const& message,
                                  std::string const& host, time_point now)
{
    Json::Value json;
    json["service"] = message.service.str();
    json["began"] = Json::arrayValue;
    for (stream_record const& each : message.began)
    {
        Json::Value record(Json::arrayValue);
        record.append(each.stream.str());
        record.append(each.software.str());
        record.append(ms_left(each.until, now));
        json["began"].append(std::move(record));
    }
    if (message.asks_for)
        json["stream"] = message.asks_for->str();
    if (message.to_store)
        json["store"] = true;
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       streams_path, host, body.size(), body);
}

std::optional<stream_message> decode_stream_message(std::string const& body,
                                                    time_point now)
{
    auto const json = from_text(body);
    if (!json || !json->isObject())
        return std::nullopt;
    Json::Value const& began = (*json)["began"];
    stream_message message;
    message.service = service_id(text_or(*json, "service", ""));
    message.to_store = flag_or(*json, "store", false);
    if (message.service.empty() || !began.isArray() ||
        began.size() > max_records ||
        !std::all_of(began.begin(), began.end(), is_record) ||
        !read_text(*json, "stream", message.asks_for))
        return std::nullopt;
    for (Json::Value const& each : began)
        message.began.push_back(
            {request_id(each[0].asString()), message.service,
             software_version(each[1].asString()),
             now + std::chrono::milliseconds(
                       std::min(each[2].asUInt64(), max_left_ms))});
    return message;
}

std::string encode_stream_reply(stream_reply const& reply)
{
    Json::Value json;
    if (reply.software)
        json["software"] = reply.software->str();
    if (reply.only)
        json["only"] = reply.only->str();
    json["established"] = Json::arrayValue;
    for (software_version const& each : reply.established)
        json["established"].append(each.str());
    return to_text(json);
}

std::optional<stream_reply> decode_stream_reply(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject())
        return std::nullopt;
    stream_reply reply;
    Json::Value const& established = (*json)["established"];
    if (!is_version_list(established) ||
        !read_text(*json, "software", reply.software) ||
        !read_text(*json, "only", reply.only))
        return std::nullopt;
    for (Json::Value const& each : established)
        reply.established.insert(software_version(each.asString()));
    return reply;
}

} // namespace mulberry
