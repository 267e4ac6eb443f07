#include "operator_listener.hpp"

#include "declaration_text.hpp"
#include "error_page.hpp"
#include "json_text.hpp"
#include "metrics_text.hpp"
#include "peer_codec.hpp"
#include "plan.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::size_t queue_capacity = 64;
constexpr std::chrono::milliseconds peer_timeout{2000};
constexpr std::size_t default_timeline_limit = 1000;

/// JSON-RPC error codes are this base minus the number of the error's kind.
constexpr int error_code_base = -31000;

[[noreturn]] void throw_rpc_failure(error const& what, Json::Value changes = {})
{
    Json::Value data = error_json(what, "");
    if (!changes.isNull())
        data["changes"] = std::move(changes);
    throw rpc_failure(error_code_base - static_cast<int>(what.kind()),
                      what.text(), std::move(data));
}

declaration parse_or_throw(std::string const& text)
{
    auto parsed = parse_declaration(text, "declaration");
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
        throw_rpc_failure(
            error(error_kind::bad_request, faults->front().str()));
    return std::get<declaration>(std::move(parsed));
}

/// Returns the time of one load at the store's full speed, from the declared
/// number of concurrent loads and loads per second.
duration min_load_time(store_declaration const& store)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        static_cast<double>(store.loads_at_once) / store.loads_per_second));
}

plan plan_for(core_status const& status, declaration const& wanted)
{
    declaration const nothing;
    declaration const& current = status.declared ? *status.declared : nothing;
    residency loaded;
    for (auto const& [worker, adapters] : status.residents)
        loaded[worker].insert(adapters.begin(), adapters.end());
    return make_plan(current, status.configuration, wanted, loaded,
                     min_load_time(wanted.store));
}

/// Parses a reader's position in the timelines of all VMs, an object that maps
/// each VM to the number of the last event read. Returns an empty object if
/// `text` is invalid.
Json::Value parse_cursor(std::string const& text)
{
    if (auto value = from_text(text); value && value->isObject())
        return *value;
    return Json::objectValue;
}

} // namespace

operator_listener::operator_listener(operators_settings settings)
    : settings_(std::move(settings))
{
}

operator_listener::~operator_listener() = default;

void operator_listener::start(kernel& parts)
{
    decisions_ = &parts.find<decision_loop>("decisions");
    client_ = std::make_unique<http_client>();
    executor_ = std::make_unique<rpc_executor>(
        std::map<std::string, rpc_method>{
            {"status", [this](Json::Value const& in) { return status(in); }},
            {"configuration",
             [this](Json::Value const&) { return configuration(); }},
            {"plan", [this](Json::Value const& in) { return plan(in); }},
            {"confirm", [this](Json::Value const& in) { return confirm(in); }},
            {"drain", [this](Json::Value const& in) { return drain(in); }},
            {"targets", [this](Json::Value const&) { return targets(); }},
            {"timeline",
             [this](Json::Value const& in) { return timeline(in); }}},
        queue_capacity);
    http_server_options options = settings_.server;
    options.error_page = server_error_page;
    server_ = std::make_unique<http_server>(
        std::move(options),
        [this](http_request request, std::shared_ptr<http_answer> out)
        {
            if (!is_authorized(request, settings_.key))
                out->respond(unauthorized_response());
            else if (request.method == "POST" && request.path == "/rpc")
                executor_->submit(std::move(request.body), std::move(out));
            else
                out->respond(error_page(
                    error(error_kind::not_found, "no " + request.path), ""));
        });
}

void operator_listener::stop()
{
    server_.reset();
    executor_.reset();
    client_.reset();
}

std::string operator_listener::address() const
{
    return settings_.server.address + ":" + std::to_string(server_->port());
}

std::vector<member_view> operator_listener::members() const
{
    return decisions_->status()->members;
}

Json::Value operator_listener::call_peer(member_view const& member,
                                         std::string const& method,
                                         Json::Value const& parameters)
{
    rpc_client peer(*client_, "http://" + member.address + "/rpc",
                    settings_.peers_key);
    return peer.call(method, parameters,
                     std::chrono::steady_clock::now() + peer_timeout);
}

Json::Value operator_listener::status(Json::Value const& parameters)
{
    Json::Value result;
    result["vms"].append(status_json(*decisions_->status()));
    result["unreachable"] = Json::arrayValue;
    if (!flag_or(parameters, "all", false))
        return result;
    for (member_view const& member : members())
    {
        if (member.vm == settings_.vm)
            continue;
        try
        {
            result["vms"].append(
                call_peer(member, "status", Json::objectValue));
        }
        catch (rpc_failure const&)
        {
            result["unreachable"].append(member.vm.str());
        }
    }
    return result;
}

Json::Value operator_listener::configuration() const
{
    auto const status = decisions_->status();
    Json::Value result;
    result["version"] = Json::UInt64(status->configuration.value());
    result["declaration"] =
        status->declared ? write_declaration(*status->declared) : "";
    return result;
}

declaration
operator_listener::requested_declaration(Json::Value const& parameters) const
{
    declaration wanted = parse_or_throw(text_or(parameters, "declaration", ""));
    if (wanted.deployment != settings_.deployment)
        throw_rpc_failure(error(error_kind::bad_request,
                                "the declaration is for " + wanted.deployment +
                                    ", these VMs serve " +
                                    settings_.deployment));
    return wanted;
}

Json::Value operator_listener::plan(Json::Value const& parameters) const
{
    declaration const wanted = requested_declaration(parameters);
    mulberry::plan const new_plan = plan_for(*decisions_->status(), wanted);
    Json::Value result;
    result["plan"] = *from_text(plan_json(new_plan));
    result["text"] = describe(new_plan);
    result["declaration"] = write_declaration(wanted);
    return result;
}

Json::Value operator_listener::confirm(Json::Value const& parameters)
{
    std::string const text = text_or(parameters, "declaration", "");
    std::string const digest = text_or(parameters, "digest", "");
    declaration const wanted = requested_declaration(parameters);
    if (digest_of(text) != digest || write_declaration(wanted) != text)
        throw_rpc_failure(
            error(error_kind::bad_request,
                  "the declaration is not the one that was planned"));
    auto const status = decisions_->status();
    mulberry::plan const new_plan = plan_for(*status, wanted);
    if (!new_plan.feasible())
        throw_rpc_failure(
            error(error_kind::plan_infeasible, new_plan.obstacles.front()));
    confirm_result const confirmed = decisions_->confirm(
        config_version(number_or(parameters, "base", 0)), digest, text);
    if (auto const* failure = std::get_if<error>(&confirmed.result))
    {
        Json::Value changes;
        if (confirmed.current)
        {
            mulberry::plan const since =
                make_plan(*confirmed.current, status->configuration, wanted, {},
                          duration::zero());
            changes = (*from_text(plan_json(since)))["changes"];
        }
        throw_rpc_failure(*failure, std::move(changes));
    }
    Json::Value result;
    result["version"] =
        Json::UInt64(std::get<config_version>(confirmed.result).value());
    return result;
}

Json::Value operator_listener::drain(Json::Value const& parameters)
{
    vm_id const wanted(text_or(parameters, "vm", ""));
    for (member_view const& member : members())
        if (member.vm == wanted)
            return call_peer(member, "drain", Json::objectValue);
    throw_rpc_failure(error(error_kind::not_found, "no VM " + wanted.str()));
}

Json::Value operator_listener::targets() const
{
    return targets_json(*decisions_->status());
}

Json::Value operator_listener::timeline(Json::Value const& parameters)
{
    Json::Value cursor = parse_cursor(text_or(parameters, "after", ""));
    std::size_t const limit =
        number_or(parameters, "limit", default_timeline_limit);
    std::vector<Json::Value> events;
    for (member_view const& member : members())
    {
        Json::Value query;
        query["after"] = cursor[member.vm.str()];
        query["limit"] = Json::UInt64(limit);
        try
        {
            for (Json::Value const& event :
                 call_peer(member, "timeline", query))
                events.push_back(event);
        }
        catch (rpc_failure const&)
        {
            // The cursor of an unreachable VM stays, so its events are returned
            // by a later call.
            continue;
        }
    }
    std::sort(events.begin(), events.end(),
              [](Json::Value const& one, Json::Value const& other)
              { return one["stamp"].asString() < other["stamp"].asString(); });
    if (events.size() > limit)
        events.resize(limit);
    Json::Value result;
    result["events"] = Json::arrayValue;
    for (Json::Value& event : events)
    {
        cursor[event["vm"].asString()] = event["number"];
        result["events"].append(std::move(event));
    }
    result["cursor"] = to_text(cursor);
    return result;
}

} // namespace mulberry
