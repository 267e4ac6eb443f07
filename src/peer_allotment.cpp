#include "peer_allotment.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

constexpr Json::ArrayIndex entry_fields = 4;
constexpr Json::ArrayIndex max_teams = 10'000;
constexpr double max_amount = 1e12;
constexpr std::uint64_t max_delegated_ms = 60'000;
constexpr double max_wait_ms = 60'000;
constexpr Json::ArrayIndex notice_fields = 3;
constexpr double max_age_ms = 3'600'000;

Json::Int64 whole_ms(duration span)
{
    return std::chrono::ceil<std::chrono::milliseconds>(span).count();
}

/// Whether `json` is a team's name followed by three amounts within bounds.
bool is_entry(Json::Value const& json)
{
    if (!json.isArray() || json.size() != entry_fields || !json[0].isString())
        return false;
    for (Json::ArrayIndex index = 1; index < entry_fields; ++index)
    {
        if (!json[index].isNumeric())
            return false;
        double const amount = json[index].asDouble();
        if (!std::isfinite(amount) || amount < 0 || amount > max_amount)
            return false;
    }
    return true;
}

bool are_entries(Json::Value const& list)
{
    return list.isArray() && list.size() <= max_teams &&
           std::all_of(list.begin(), list.end(), is_entry);
}

duration parse_ms(Json::Value const& json)
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(json.asDouble(), max_wait_ms)));
}

Json::Value query_json(allotment_query const& query)
{
    Json::Value json;
    json["from"] = query.from.str();
    json["left_ms"] = whole_ms(query.delegated_for);
    json["teams"] = Json::arrayValue;
    for (allotment_need const& each : query.teams)
    {
        Json::Value entry(Json::arrayValue);
        entry.append(each.team.str());
        entry.append(each.share);
        entry.append(each.min_units);
        entry.append(each.max_units);
        json["teams"].append(std::move(entry));
    }
    return json;
}

std::optional<allotment_query> parse_query(Json::Value const& json)
{
    if (!json.isObject() || !json["from"].isString() ||
        !json["left_ms"].isUInt64() || !are_entries(json["teams"]))
        return std::nullopt;
    allotment_query query;
    query.from = vm_id(json["from"].asString());
    query.delegated_for = std::chrono::milliseconds(
        std::min(json["left_ms"].asUInt64(), max_delegated_ms));
    for (Json::Value const& each : json["teams"])
    {
        double const share = each[1].asDouble();
        if (share > 1)
            return std::nullopt;
        query.teams.push_back({allotment_id(each[0].asString()), share,
                               each[2].asDouble(), each[3].asDouble()});
    }
    return query;
}

Json::Value reply_json(allotment_reply const& reply)
{
    Json::Value json;
    json["given"] = Json::arrayValue;
    for (allotted_units const& each : reply)
    {
        Json::Value entry(Json::arrayValue);
        entry.append(each.team.str());
        entry.append(each.units);
        entry.append(whole_ms(each.available_in));
        entry.append(whole_ms(each.retry_in));
        json["given"].append(std::move(entry));
    }
    return json;
}

std::optional<allotment_reply> parse_reply(Json::Value const& json)
{
    if (!json.isObject() || !are_entries(json["given"]))
        return std::nullopt;
    allotment_reply reply;
    for (Json::Value const& each : json["given"])
        reply.push_back({allotment_id(each[0].asString()), each[1].asDouble(),
                         parse_ms(each[2]), parse_ms(each[3])});
    return reply;
}

Json::Value notices_json(std::vector<worker_limit_notice> const& notices,
                         time_point now)
{
    Json::Value json(Json::arrayValue);
    for (worker_limit_notice const& each : notices)
    {
        Json::Value entry(Json::arrayValue);
        entry.append(each.worker.str());
        entry.append(each.per_second ? Json::Value(*each.per_second)
                                     : Json::Value());
        entry.append(whole_ms(now - each.heard_at));
        json.append(std::move(entry));
    }
    return json;
}

/// Whether `json` is a worker's name, a limit above 0 or null, and an age.
bool is_notice(Json::Value const& json)
{
    if (!json.isArray() || json.size() != notice_fields ||
        !json[0].isString() || !json[2].isNumeric())
        return false;
    double const age = json[2].asDouble();
    if (!std::isfinite(age) || age < 0 || age > max_age_ms)
        return false;
    return json[1].isNull() ||
           (json[1].isNumeric() && std::isfinite(json[1].asDouble()) &&
            json[1].asDouble() > 0);
}

std::optional<std::vector<worker_limit_notice>>
parse_notices(Json::Value const& json, time_point now)
{
    if (!json.isArray() || json.size() > max_teams ||
        !std::all_of(json.begin(), json.end(), is_notice))
        return std::nullopt;
    std::vector<worker_limit_notice> notices;
    for (Json::Value const& each : json)
        notices.push_back(
            {worker_id(each[0].asString()),
             each[1].isNull() ? std::nullopt
                              : std::optional(each[1].asDouble()),
             now - std::chrono::milliseconds(
                       static_cast<std::int64_t>(each[2].asDouble()))});
    return notices;
}

std::string post_request(char const* path, std::string const& host,
                         Json::Value const& json)
{
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       path, host, body.size(), body);
}

} // namespace

std::string encode_allotment_query(allotment_query const& query,
                                   std::string const& host)
{
    return post_request(allotment_path, host, query_json(query));
}

std::optional<allotment_query> decode_allotment_query(std::string const& body)
{
    auto const json = from_text(body);
    return json ? parse_query(*json) : std::nullopt;
}

std::string encode_allotment_reply(allotment_reply const& reply)
{
    return to_text(reply_json(reply));
}

std::optional<allotment_reply> decode_allotment_reply(std::string const& body)
{
    auto const json = from_text(body);
    return json ? parse_reply(*json) : std::nullopt;
}

std::string encode_worker_limit_query(worker_limit_query const& query,
                                      std::string const& host, time_point now)
{
    Json::Value json = query_json(query.query);
    json["notices"] = notices_json(query.notices, now);
    return post_request(worker_limits_path, host, json);
}

std::optional<worker_limit_query>
decode_worker_limit_query(std::string const& body, time_point now)
{
    auto const json = from_text(body);
    auto query = json ? parse_query(*json) : std::nullopt;
    auto notices =
        query ? parse_notices((*json)["notices"], now) : std::nullopt;
    if (!notices)
        return std::nullopt;
    return worker_limit_query{std::move(*query), std::move(*notices)};
}

std::string encode_worker_limit_reply(worker_limit_reply const& reply,
                                      time_point now)
{
    Json::Value json = reply_json(reply.reply);
    json["notices"] = notices_json(reply.notices, now);
    return to_text(json);
}

std::optional<worker_limit_reply>
decode_worker_limit_reply(std::string const& body, time_point now)
{
    auto const json = from_text(body);
    auto reply = json ? parse_reply(*json) : std::nullopt;
    auto notices =
        reply ? parse_notices((*json)["notices"], now) : std::nullopt;
    if (!notices)
        return std::nullopt;
    return worker_limit_reply{std::move(*reply), std::move(*notices)};
}

} // namespace mulberry
