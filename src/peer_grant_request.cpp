#include "peer_grant_request.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr std::uint64_t max_wait_ms = 600'000;
constexpr std::size_t max_completions = 100'000;
constexpr std::size_t max_crashes = 10'000;
constexpr std::size_t max_rejections = 10'000;
constexpr Json::ArrayIndex crash_fields = 5;
/// Bound on the tokens of one prompt; more than fits in any engine's memory.
constexpr std::uint64_t max_prompt_tokens = 100'000'000;

Json::Int64 whole_ms(duration span)
{
    return std::chrono::floor<std::chrono::milliseconds>(span).count();
}

duration parse_ms(Json::Value const& json)
{
    return std::chrono::milliseconds(
        json.isUInt64() ? std::min(json.asUInt64(), max_wait_ms) : 0);
}

Json::Value grant_request_json(peer_grant_request const& ask)
{
    Json::Value json;
    json["service"] = ask.service.str();
    json["worker"] = ask.worker.str();
    json["model"] = ask.target.model.str();
    json["adapter"] = ask.target.adapter.str();
    json["priority"] = ask.priority;
    json["request"] = ask.request.str();
    json["left_ms"] = whole_ms(ask.time_left);
    json["tokens"] = ask.prompt_tokens;
    if (ask.prefix.key != 0)
    {
        json["prefix"].append(Json::UInt64(ask.prefix.key));
        json["prefix"].append(ask.prefix.tokens);
    }
    if (ask.objective_left)
        json["objective_ms"] = whole_ms(*ask.objective_left);
    if (ask.start_delay_elsewhere)
        json["elsewhere_ms"] = whole_ms(*ask.start_delay_elsewhere);
    for (worker_id const& each : ask.excluded)
        json["excluded"].append(each.str());
    if (ask.software)
    {
        json["software"] = Json::arrayValue;
        for (software_version const& each : *ask.software)
            json["software"].append(each.str());
    }
    if (!ask.team.empty())
        json["team"] = ask.team.str();
    if (ask.answer_tokens > 0)
        json["answer_tokens"] = ask.answer_tokens;
    if (ask.continues_stream)
        json["continues"] = true;
    return json;
}

std::optional<send_outcome> parse_outcome(Json::Value const& json)
{
    if (!json.isInt())
        return std::nullopt;
    switch (auto const outcome = static_cast<send_outcome>(json.asInt()))
    {
    case send_outcome::served:
    case send_outcome::failed:
    case send_outcome::full:
    case send_outcome::not_held:
    case send_outcome::unreachable:
    case send_outcome::broken:
    case send_outcome::silent:
    case send_outcome::abandoned:
        return outcome;
    }
    return std::nullopt;
}

template <class Id>
bool parse_ids(Json::Value const& json, std::set<Id>& ids)
{
    if (!json.isNull() && !json.isArray())
        return false;
    for (Json::Value const& each : json)
    {
        if (!each.isString())
            return false;
        ids.insert(Id(each.asString()));
    }
    return true;
}

std::optional<peer_grant_request> parse_grant_request(Json::Value const& json)
{
    peer_grant_request ask;
    ask.service = service_id(text_or(json, "service", ""));
    ask.worker = worker_id(text_or(json, "worker", ""));
    ask.target = {base_model_id(text_or(json, "model", "")),
                  adapter_id(text_or(json, "adapter", ""))};
    ask.priority = json["priority"].isInt() ? json["priority"].asInt() : 0;
    ask.time_left = std::chrono::milliseconds(
        std::min(number_or(json, "left_ms", 0), max_wait_ms));
    ask.prompt_tokens = static_cast<std::uint32_t>(
        std::min(number_or(json, "tokens", 0), max_prompt_tokens));
    Json::Value const& prefix = json["prefix"];
    if (prefix.isArray() && prefix.size() == 2 && prefix[0].isUInt64() &&
        prefix[1].isUInt())
        ask.prefix = {prefix[0].asUInt64(), prefix[1].asUInt()};
    if (json.isMember("objective_ms"))
        ask.objective_left = parse_ms(json["objective_ms"]);
    if (json.isMember("elsewhere_ms"))
        ask.start_delay_elsewhere = parse_ms(json["elsewhere_ms"]);
    ask.request = request_id(text_or(json, "request", ""));
    if (!parse_ids(json["excluded"], ask.excluded))
        return std::nullopt;
    if (json.isMember("software") &&
        !parse_ids(json["software"], ask.software.emplace()))
        return std::nullopt;
    ask.team = team_id(text_or(json, "team", ""));
    ask.answer_tokens = static_cast<std::uint32_t>(
        std::min(number_or(json, "answer_tokens", 0), max_prompt_tokens));
    ask.continues_stream =
        json["continues"].isBool() && json["continues"].asBool();
    if (ask.service.empty() || ask.target.model.empty() ||
        ask.target.adapter.empty())
        return std::nullopt;
    return ask;
}

Json::Value crash_json(crash_observation const& seen, time_point now)
{
    Json::Value json(Json::arrayValue);
    json.append(seen.request.str());
    json.append(seen.crashed.worker.str());
    json.append(Json::UInt64(seen.crashed.started.value()));
    for (time_point const moment : {seen.sent_at, seen.at})
        json.append(whole_ms(std::max<duration>(now - moment, duration(0))));
    return json;
}

std::optional<crash_observation> parse_crash(Json::Value const& json,
                                             time_point now)
{
    if (!json.isArray() || json.size() != crash_fields || !json[0].isString() ||
        !json[1].isString() || !json[2].isUInt64() || !json[3].isUInt64() ||
        !json[4].isUInt64())
        return std::nullopt;
    return crash_observation{
        request_digest(json[0].asString()),
        {worker_id(json[1].asString()), worker_start(json[2].asUInt64())},
        now - parse_ms(json[3]),
        now - parse_ms(json[4])};
}

bool parse_digests(Json::Value const& json, std::vector<request_digest>& into)
{
    if (!json.isNull() && (!json.isArray() || json.size() > max_crashes))
        return false;
    for (Json::Value const& each : json)
    {
        if (!each.isString())
            return false;
        into.emplace_back(each.asString());
    }
    return true;
}

bool parse_rejections(Json::Value const& json,
                      std::vector<rejection_notice>& into)
{
    if (!json.isNull() && (!json.isArray() || json.size() > max_rejections))
        return false;
    for (Json::Value const& pair : json)
    {
        if (!pair.isArray() || pair.size() != 3 || !pair[0].isString() ||
            !pair[1].isUInt() || !pair[2].isBool())
            return false;
        into.push_back({worker_id(pair[0].asString()), pair[1].asUInt(),
                        pair[2].asBool()});
    }
    return true;
}

bool parse_observations(Json::Value const& json, time_point now,
                        std::vector<crash_observation>& into)
{
    if (!json.isNull() && (!json.isArray() || json.size() > max_crashes))
        return false;
    for (Json::Value const& each : json)
    {
        auto const crash = parse_crash(each, now);
        if (!crash)
            return false;
        into.push_back(*crash);
    }
    return true;
}

bool parse_crashes(Json::Value const& json, time_point now, crash_update& into)
{
    return parse_observations(json["crashes"], now, into.seen) &&
           parse_observations(json["cleared"], now, into.cleared) &&
           parse_digests(json["answered"], into.answered) &&
           parse_digests(json["confirmed"], into.confirmed);
}

} // namespace

std::string encode_peer_call(peer_call const& message, std::string const& host,
                             time_point now)
{
    Json::Value json(Json::objectValue);
    if (message.ask)
        json = grant_request_json(*message.ask);
    for (peer_completion const& done : message.done)
    {
        Json::Value pair(Json::arrayValue);
        pair.append(Json::UInt64(done.grant));
        pair.append(static_cast<int>(done.outcome));
        json["done"].append(std::move(pair));
    }
    for (crash_observation const& each : message.crashes.seen)
        json["crashes"].append(crash_json(each, now));
    for (request_digest const& each : message.crashes.answered)
        json["answered"].append(each.str());
    for (crash_observation const& each : message.crashes.cleared)
        json["cleared"].append(crash_json(each, now));
    for (request_digest const& each : message.crashes.confirmed)
        json["confirmed"].append(each.str());
    for (request_digest const& each : message.asked_parts)
        json["asked"].append(each.str());
    for (rejection_notice const& each : message.rejections)
    {
        Json::Value pair(Json::arrayValue);
        pair.append(each.worker.str());
        pair.append(each.tolerated);
        pair.append(each.within_share);
        json["rejected"].append(std::move(pair));
    }
    std::string const body = to_text(json);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       peer_path, host, body.size(), body);
}

std::optional<peer_call> decode_peer_call(std::string const& body,
                                          time_point now)
{
    auto const json = from_text(body);
    if (!json || !json->isObject())
        return std::nullopt;
    peer_call message;
    if (json->isMember("worker"))
    {
        message.ask = parse_grant_request(*json);
        if (!message.ask)
            return std::nullopt;
    }
    Json::Value const& done = (*json)["done"];
    if (!done.isNull() && (!done.isArray() || done.size() > max_completions))
        return std::nullopt;
    for (Json::Value const& pair : done)
    {
        if (!pair.isArray() || pair.size() != 2 || !pair[0].isUInt64())
            return std::nullopt;
        auto const outcome = parse_outcome(pair[1]);
        if (!outcome)
            return std::nullopt;
        message.done.push_back({pair[0].asUInt64(), *outcome});
    }
    if (!parse_crashes(*json, now, message.crashes) ||
        !parse_digests((*json)["asked"], message.asked_parts) ||
        !parse_rejections((*json)["rejected"], message.rejections))
        return std::nullopt;
    return message;
}

std::string encode_peer_reply(peer_reply const& reply, time_point now)
{
    Json::Value json;
    json["granted"] = reply.granted;
    json["grant"] = Json::UInt64(reply.grant);
    json["worker"] = reply.worker.str();
    if (reply.version != adapter_version())
        json["version"] = Json::UInt64(reply.version.value());
    for (part_answer const& each : reply.part_answers)
    {
        Json::Value pair(Json::arrayValue);
        pair.append(each.part.str());
        pair.append(whole_ms(std::max<duration>(now - each.at, duration(0))));
        json["parts"].append(std::move(pair));
    }
    return to_text(json);
}

std::optional<peer_reply> decode_peer_reply(std::string const& body,
                                            time_point now)
{
    auto const json = from_text(body);
    if (!json || !json->isObject() || !(*json)["granted"].isBool() ||
        !(*json)["worker"].isString())
        return std::nullopt;
    peer_reply reply{(*json)["granted"].asBool(),
                     number_or(*json, "grant", 0),
                     worker_id((*json)["worker"].asString()),
                     adapter_version(number_or(*json, "version", 0)),
                     {}};
    Json::Value const& parts = (*json)["parts"];
    if (!parts.isNull() && (!parts.isArray() || parts.size() > max_crashes))
        return std::nullopt;
    for (Json::Value const& pair : parts)
    {
        if (!pair.isArray() || pair.size() != 2 || !pair[0].isString() ||
            !pair[1].isUInt64())
            return std::nullopt;
        reply.part_answers.push_back(
            {request_digest(pair[0].asString()), now - parse_ms(pair[1])});
    }
    return reply;
}

} // namespace mulberry
