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
constexpr Json::ArrayIndex most_teams = 10'000;
constexpr double most_units = 1e12;
constexpr std::uint64_t longest_left_ms = 60'000;
constexpr double longest_wait_ms = 60'000;

Json::Int64 whole_ms(duration span)
{
    return std::chrono::ceil<std::chrono::milliseconds>(span).count();
}

/// Whether a list's entry is a name and three amounts within bounds.
bool is_entry(Json::Value const& json)
{
    if (!json.isArray() || json.size() != entry_fields || !json[0].isString())
        return false;
    for (Json::ArrayIndex index = 1; index < entry_fields; ++index)
    {
        if (!json[index].isNumeric())
            return false;
        double const amount = json[index].asDouble();
        if (!std::isfinite(amount) || amount < 0 || amount > most_units)
            return false;
    }
    return true;
}

bool are_entries(Json::Value const& list)
{
    return list.isArray() && list.size() <= most_teams &&
           std::all_of(list.begin(), list.end(), is_entry);
}

duration parse_ms(Json::Value const& json)
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(json.asDouble(), longest_wait_ms)));
}

} // namespace

std::string encode_allotment_question(allotment_question const& question,
                                      std::string const& host)
{
    Json::Value json;
    json["from"] = question.from.str();
    json["left_ms"] = whole_ms(question.left_for);
    json["teams"] = Json::arrayValue;
    for (team_question const& each : question.teams)
    {
        Json::Value entry(Json::arrayValue);
        entry.append(each.team.str());
        entry.append(each.part);
        entry.append(each.least);
        entry.append(each.most);
        json["teams"].append(std::move(entry));
    }
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       allotment_path, host, body.size(), body);
}

std::optional<allotment_question>
decode_allotment_question(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject() || !(*json)["from"].isString() ||
        !(*json)["left_ms"].isUInt64() || !are_entries((*json)["teams"]))
        return std::nullopt;
    allotment_question question;
    question.from = vm_id((*json)["from"].asString());
    question.left_for = std::chrono::milliseconds(
        std::min((*json)["left_ms"].asUInt64(), longest_left_ms));
    for (Json::Value const& each : (*json)["teams"])
    {
        double const part = each[1].asDouble();
        if (part > 1)
            return std::nullopt;
        question.teams.push_back({team_id(each[0].asString()), part,
                                  each[2].asDouble(), each[3].asDouble()});
    }
    return question;
}

std::string encode_allotment_reply(allotment_reply const& reply)
{
    Json::Value json;
    json["given"] = Json::arrayValue;
    for (team_given const& each : reply)
    {
        Json::Value entry(Json::arrayValue);
        entry.append(each.team.str());
        entry.append(each.units);
        entry.append(whole_ms(each.fits_in));
        entry.append(whole_ms(each.come_back_in));
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
