#include "peer_codec.hpp"

#include "json_text.hpp"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::int64_t max_duration_ms = 86'400'000;

Json::UInt64 to_json_uint(std::uint64_t value)
{
    return value;
}

std::int64_t to_ms(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

duration ms_or_zero(Json::Value const& object, char const* key)
{
    std::uint64_t const ms = number_or(object, key, 0);
    return std::chrono::milliseconds(std::min<std::uint64_t>(
        ms, static_cast<std::uint64_t>(max_duration_ms)));
}

char const* state_name(resident_state state)
{
    switch (state)
    {
    case resident_state::loading:
        return "loading";
    case resident_state::ready:
        return "ready";
    case resident_state::evicting:
        return "evicting";
    }
    return "ready";
}

resident_state state_named(std::string const& name)
{
    if (name == "loading")
        return resident_state::loading;
    return name == "evicting" ? resident_state::evicting
                              : resident_state::ready;
}

Json::Value resident_json(resident_view const& resident)
{
    Json::Value value;
    value["a"] = resident.adapter.str();
    value["s"] = state_name(resident.state);
    value["f"] = to_json_uint(resident.in_flight);
    value["q"] = to_json_uint(resident.queued);
    if (resident.pinned_by_previous_owner)
        value["p"] = true;
    return value;
}

Json::Value worker_json(worker_view const& worker)
{
    Json::Value value;
    value["id"] = worker.id.str();
    value["usable"] = worker.usable;
    value["evicts"] = worker.can_evict;
    value["running"] = to_json_uint(worker.running);
    value["queued"] = to_json_uint(worker.queued);
    value["residents"] = Json::arrayValue;
    for (resident_view const& resident : worker.residents)
        value["residents"].append(resident_json(resident));
    return value;
}

worker_view parse_worker(Json::Value const& value)
{
    worker_view worker;
    worker.id = worker_id(text_or(value, "id", ""));
    worker.usable = flag_or(value, "usable", false);
    worker.can_evict = flag_or(value, "evicts", true);
    worker.running = number_or(value, "running", 0);
    worker.queued = number_or(value, "queued", 0);
    for (Json::Value const& one : value["residents"])
    {
        auto const adapter = parse_adapter_ref(text_or(one, "a", ""));
        if (!adapter)
            continue;
        resident_view resident;
        resident.adapter = *adapter;
        resident.state = state_named(text_or(one, "s", ""));
        resident.in_flight = number_or(one, "f", 0);
        resident.queued = number_or(one, "q", 0);
        resident.pinned_by_previous_owner = flag_or(one, "p", false);
        worker.residents.push_back(std::move(resident));
    }
    return worker;
}

Json::Value to_json(ownership_hint const& hint)
{
    Json::Value value;
    value["type"] = "ownership_hint";
    value["life"] = to_json_uint(hint.life.value());
    value["configuration"] = to_json_uint(hint.configuration.value());
    value["takes_work"] = hint.takes_work;
    value["loads"]["life"] = to_json_uint(hint.loads.vm_incarnation.value());
    value["loads"]["started"] = to_json_uint(hint.loads.started);
    value["loads"]["waiting"] = to_json_uint(hint.loads.waiting);
    value["loads"]["running"] = to_json_uint(hint.loads.running);
    value["workers"] = Json::arrayValue;
    for (worker_view const& worker : hint.workers)
        value["workers"].append(worker_json(worker));
    return value;
}

Json::Value to_json(configuration_hint const& hint)
{
    Json::Value value;
    value["type"] = "configuration_hint";
    value["version"] = to_json_uint(hint.version.value());
    return value;
}

Json::Value to_json(outage_question const& question)
{
    Json::Value value;
    value["type"] = "outage_question";
    value["number"] = to_json_uint(question.number);
    value["configuration"] = to_json_uint(question.configuration.value());
    return value;
}

Json::Value to_json(outage_answer const& answer)
{
    Json::Value value;
    value["type"] = "outage_answer";
    value["number"] = to_json_uint(answer.number);
    value["life"] = to_json_uint(answer.life.value());
    value["promised"] = answer.promised;
    value["holds_for_ms"] = Json::Int64(to_ms(answer.holds_for));
    value["configuration"] = to_json_uint(answer.configuration.value());
    return value;
}

Json::Value to_json(confirm_question const& question)
{
    Json::Value value;
    value["type"] = "confirm_question";
    value["number"] = to_json_uint(question.number);
    value["base"] = to_json_uint(question.base.value());
    return value;
}

Json::Value to_json(confirm_answer const& answer)
{
    Json::Value value;
    value["type"] = "confirm_answer";
    value["number"] = to_json_uint(answer.number);
    value["life"] = to_json_uint(answer.life.value());
    value["promised"] = answer.promised;
    value["holds_for_ms"] = Json::Int64(to_ms(answer.holds_for));
    return value;
}

ownership_hint parse_hint(Json::Value const& value)
{
    ownership_hint hint;
    hint.life = incarnation(number_or(value, "life", 0));
    hint.configuration = config_version(number_or(value, "configuration", 0));
    hint.takes_work = flag_or(value, "takes_work", false);
    Json::Value const& loads = value["loads"];
    hint.loads.vm_incarnation = incarnation(number_or(loads, "life", 0));
    hint.loads.started = number_or(loads, "started", 0);
    hint.loads.waiting = number_or(loads, "waiting", 0);
    hint.loads.running = number_or(loads, "running", 0);
    for (Json::Value const& worker : value["workers"])
        hint.workers.push_back(parse_worker(worker));
    return hint;
}

std::optional<std::uint64_t> parse_hex(std::string const& text)
{
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [parsed_end, fault] =
        std::from_chars(text.data(), end, value, 16);
    if (fault != std::errc{} || parsed_end != end)
        return std::nullopt;
    return value;
}

std::string to_hex(std::uint64_t value)
{
    char text[17];
    auto const [end, fault] = std::to_chars(text, text + 16, value, 16);
    return {text, end};
}

} // namespace

Json::Value peer_message_json(peer_message const& message)
{
    return std::visit([](auto const& one) { return to_json(one); }, message);
}

std::optional<peer_message> parse_peer_message(Json::Value const& value)
{
    std::string const type = text_or(value, "type", "");
    if (type == "ownership_hint")
        return parse_hint(value);
    if (type == "configuration_hint")
        return configuration_hint{
            config_version(number_or(value, "version", 0))};
    if (type == "outage_question")
        return outage_question{
            number_or(value, "number", 0),
            config_version(number_or(value, "configuration", 0))};
    if (type == "outage_answer")
        return outage_answer{
            number_or(value, "number", 0),
            incarnation(number_or(value, "life", 0)),
            flag_or(value, "promised", false),
            ms_or_zero(value, "holds_for_ms"),
            config_version(number_or(value, "configuration", 0))};
    if (type == "confirm_question")
        return confirm_question{number_or(value, "number", 0),
                                config_version(number_or(value, "base", 0))};
    if (type == "confirm_answer")
        return confirm_answer{number_or(value, "number", 0),
                              incarnation(number_or(value, "life", 0)),
                              flag_or(value, "promised", false),
                              ms_or_zero(value, "holds_for_ms")};
    return std::nullopt;
}

std::string forwarded_text(model_request const& request, time_point now)
{
    Json::Value value;
    value["id"] = request.id.str();
    value["model"] = request.adapter.str();
    value["base_model"] = request.base_model.str();
    value["application"] = request.application.str();
    value["chat"] = request.endpoint == model_endpoint::chat;
    value["streamed"] = request.streamed;
    value["priority"] = request.priority;
    value["age_ms"] = Json::Int64(to_ms(now - request.arrived));
    value["left_ms"] = Json::Int64(to_ms(request.deadline - now));
    value["prefix"] = to_hex(request.prefix_key);
    value["max_tokens"] = to_json_uint(request.max_tokens);
    value["body"] = *request.body;
    return to_text(value);
}

std::optional<model_request> parse_forwarded(std::string_view text,
                                             time_point now)
{
    auto const value = from_text(text);
    if (!value || !value->isObject())
        return std::nullopt;
    auto const adapter = parse_adapter_ref(text_or(*value, "model", ""));
    auto const prefix = parse_hex(text_or(*value, "prefix", ""));
    std::string const id = text_or(*value, "id", "");
    if (!adapter || !prefix || id.empty() || !(*value)["body"].isString())
        return std::nullopt;
    model_request request;
    request.id = request_id(id);
    request.adapter = *adapter;
    request.base_model = base_model_id(text_or(*value, "base_model", ""));
    request.application = application_id(text_or(*value, "application", ""));
    request.endpoint = flag_or(*value, "chat", false)
                           ? model_endpoint::chat
                           : model_endpoint::completions;
    request.streamed = flag_or(*value, "streamed", false);
    request.priority = static_cast<int>(std::min<std::uint64_t>(
        number_or(*value, "priority", default_priority), max_priority));
    request.arrived = now - ms_or_zero(*value, "age_ms");
    request.deadline = now + ms_or_zero(*value, "left_ms");
    request.prefix_key = *prefix;
    request.max_tokens = number_or(*value, "max_tokens", 16);
    request.body =
        std::make_shared<std::string const>((*value)["body"].asString());
    return request;
}

Json::Value error_json(error const& what, std::string const& request)
{
    Json::Value value;
    value["kind"] = std::string(answer_of(what.kind()).name);
    value["message"] = what.text();
    value["ran"] = std::string(to_string(what.request_ran()));
    if (!request.empty())
        value["request_id"] = request;
    if (what.retry_after())
        value["retry_after_ms"] = Json::Int64(to_ms(*what.retry_after()));
    return value;
}

std::optional<error> parse_error(Json::Value const& value)
{
    auto const kind = error_kind_named(text_or(value, "kind", ""));
    if (!kind)
        return std::nullopt;
    // An unknown word must not be read as "no", which would promise that the
    // request did not run.
    std::string const ran_text = text_or(value, "ran", "unknown");
    ran const request_ran = ran_text == "no"    ? ran::no
                            : ran_text == "yes" ? ran::yes
                                                : ran::unknown;
    std::optional<duration> retry_after;
    if (value.isMember("retry_after_ms"))
        retry_after = ms_or_zero(value, "retry_after_ms");
    return error(*kind, text_or(value, "message", ""), request_ran,
                 retry_after);
}

} // namespace mulberry
