#include "peer_rows.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr std::uint64_t max_wait_ms = 60'000;
/// One hour; rows older than this are useless anyway.
constexpr std::uint64_t max_age_ms = 3'600'000;
constexpr Json::Int64 max_proof_age_ms = max_age_ms;
constexpr Json::ArrayIndex row_fields = 4;

Json::Value row_json(stored_row const& row)
{
    Json::Value json(Json::arrayValue);
    json.append(static_cast<int>(row.kind));
    json.append(row.key);
    json.append(Json::UInt64(row.version.value()));
    json.append(row.deleted ? Json::Value() : Json::Value(row.value));
    return json;
}

std::optional<row_kind> parse_kind(Json::Value const& json)
{
    if (!json.isInt())
        return std::nullopt;
    switch (auto const kind = static_cast<row_kind>(json.asInt()))
    {
    case row_kind::configuration:
    case row_kind::adapter_release:
    case row_kind::worker:
    case row_kind::own:
    case row_kind::other:
        return kind;
    }
    return std::nullopt;
}

std::optional<stored_row> parse_row(Json::Value const& json)
{
    if (!json.isArray() || json.size() != row_fields || !json[1].isString() ||
        !json[2].isUInt64() || !(json[3].isString() || json[3].isNull()))
        return std::nullopt;
    auto const kind = parse_kind(json[0]);
    if (!kind)
        return std::nullopt;
    return stored_row{*kind, json[1].asString(),
                      row_version(json[2].asUInt64()),
                      json[3].isNull() ? std::string() : json[3].asString(),
                      json[3].isNull()};
}

Json::Value news_json(row_set_changes const& changes)
{
    Json::Value json;
    json["read"] = changes.read;
    json["version"] = Json::UInt64(changes.version.value());
    json["age_ms"] = Json::Int64(
        std::chrono::ceil<std::chrono::milliseconds>(changes.age).count());
    if (changes.proven_before)
        json["proven_before_ms"] = Json::Int64(
            std::chrono::ceil<std::chrono::milliseconds>(*changes.proven_before)
                .count());
    if (changes.missed > 0)
        json["missed"] = Json::UInt64(changes.missed);
    json["whole"] = changes.is_snapshot;
    json["incomplete"] = changes.incomplete;
    json["rows"] = Json::arrayValue;
    for (stored_row const& row : changes.rows)
        json["rows"].append(row_json(row));
    return json;
}

std::optional<row_set_changes> parse_news(Json::Value const& json)
{
    if (!json.isObject() || !json["read"].isBool() ||
        !json["version"].isUInt64() || !json["age_ms"].isUInt64() ||
        !json["whole"].isBool() || !json["rows"].isArray())
        return std::nullopt;
    row_set_changes changes;
    changes.read = json["read"].asBool();
    changes.version = row_version(json["version"].asUInt64());
    changes.age = std::chrono::milliseconds(
        std::min(json["age_ms"].asUInt64(), max_age_ms));
    if (json["proven_before_ms"].isInt64())
        changes.proven_before = std::chrono::milliseconds(
            std::clamp(json["proven_before_ms"].asInt64(), -max_proof_age_ms,
                       max_proof_age_ms));
    changes.missed = number_or(json, "missed", 0);
    changes.is_snapshot = json["whole"].asBool();
    changes.incomplete = json.get("incomplete", false) == true;
    for (Json::Value const& each : json["rows"])
    {
        auto row = parse_row(each);
        if (!row)
            return std::nullopt;
        changes.rows.push_back(std::move(*row));
    }
    return changes;
}

} // namespace

std::string encode_rows_query(rows_query const& query, std::string const& host)
{
    Json::Value json;
    for (row_version const after : query.after)
        json["after"].append(Json::UInt64(after.value()));
    json["wait_ms"] = Json::Int64(
        std::chrono::floor<std::chrono::milliseconds>(query.wait).count());
    json["large_rows"] = query.large_rows;
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       rows_path, host, body.size(), body);
}

std::optional<rows_query> decode_rows_query(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject())
        return std::nullopt;
    Json::Value const& after = (*json)["after"];
    if (!after.isArray() || after.size() != all_row_sets.size() ||
        !(*json)["wait_ms"].isUInt64())
        return std::nullopt;
    rows_query query;
    // A VM of an earlier release does not send the field and cannot handle
    // answers that leave rows out.
    query.large_rows = json->get("large_rows", true) != false;
    for (Json::ArrayIndex index = 0; index < after.size(); ++index)
    {
        if (!after[index].isUInt64())
            return std::nullopt;
        query.after.at(index) = row_version(after[index].asUInt64());
    }
    query.wait = std::chrono::milliseconds(
        std::min((*json)["wait_ms"].asUInt64(), max_wait_ms));
    return query;
}

std::string encode_rows_answer(rows_answer const& answer)
{
    Json::Value json;
    for (row_set_changes const& changes : answer)
        json["sets"].append(news_json(changes));
    return to_text(json);
}

std::optional<rows_answer> decode_rows_answer(std::string const& body)
{
    auto const json = from_text(body);
    if (!json || !json->isObject())
        return std::nullopt;
    Json::Value const& sets = (*json)["sets"];
    if (!sets.isArray() || sets.size() != all_row_sets.size())
        return std::nullopt;
    rows_answer answer;
    for (Json::ArrayIndex index = 0; index < sets.size(); ++index)
    {
        auto changes = parse_news(sets[index]);
        if (!changes)
            return std::nullopt;
        answer.at(index) = std::move(*changes);
    }
    return answer;
}

} // namespace mulberry
