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

} // namespace

std::string encode_allotment_query(allotment_query const& query,
                                   std::string const& host)
{
    Json::Value json;
    json["from"] = query.from.str();
    json["left_ms"] = whole_ms(query.delegated_for);
    json["teams"] = Json::arrayValue;
    for (team_query const& each : query.teams)
    {
        Json::Value entry(Json::arrayValue);
        entry.append(each.team.str());
        entry.append(each.share);
        entry.append(each.min_units);
        entry.append(each.max_units);
        json["teams"].append(std::move(entry));
    }
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       allotment_path, host, body.size(), body);
}

std::optional<allotment_query> decode_allotment_query(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject() || !(*json)["from"].isString() ||
        !(*json)["left_ms"].isUInt64() || !are_entries((*json)["teams"]))
        return std::nullopt;
    allotment_query query;
    query.from = vm_id((*json)["from"].asString());
    query.delegated_for = std::chrono::milliseconds(
        std::min((*json)["left_ms"].asUInt64(), max_delegated_ms));
    for (Json::Value const& each : (*json)["teams"])
    {
        double const share = each[1].asDouble();
        if (share > 1)
            return std::nullopt;
        query.teams.push_back({team_id(each[0].asString()), share,
                               each[2].asDouble(), each[3].asDouble()});
    }
    return query;
}

std::string encode_allotment_reply(allotment_reply const& reply)
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
    return to_text(json);
}

std::optional<allotment_reply> decode_allotment_reply(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject() || !are_entries((*json)["given"]))
        return std::nullopt;
    allotment_reply reply;
    for (Json::Value const& each : (*json)["given"])
        reply.push_back({team_id(each[0].asString()), each[1].asDouble(),
                         parse_ms(each[2]), parse_ms(each[3])});
    return reply;
}

} // namespace mulberry
