#include "http_engine_port.hpp"

#include "json_text.hpp"
#include "response_observer.hpp"
#include "shell_clock.hpp"
#include "stream_observer.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds report_timeout{1000};
constexpr std::chrono::milliseconds cancel_timeout{2000};

/// Returns the request body for the engine: the caller's body with `model`,
/// `stream` and `priority` prepended. The callers' listener has removed these
/// three members; `model` becomes the engine's name for the adapter.
std::string engine_body(start_attempt const& what)
{
    std::string const& caller_body = *what.request.body;
    return "{\"model\":\"" + what.name.str() +
           "\",\"stream\":true,\"priority\":" +
           std::to_string(what.request.priority) +
           (caller_body.size() > 2 ? "," : "") + caller_body.substr(1);
}

http_call stream_call(std::string const& base, start_attempt const& what)
{
    http_call call;
    call.deadline = shell_clock::to_steady(what.request.deadline);
    call.connect_timeout = connect_timeout;
    call.headers.add("X-Request-Id", what.request.id.str());
    if (what.resume)
    {
        call.url = base + "/v1/streams/" +
                   percent_encode(what.request.id.str()) +
                   "?offset=" + std::to_string(what.offset);
        return call;
    }
    call.method = "POST";
    call.url = base + (what.request.endpoint == model_endpoint::chat
                           ? "/v1/chat/completions"
                           : "/v1/completions");
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Fencing-Number", std::to_string(what.fence.value()));
    call.headers.add("X-Resumable", "1");
    if (what.request.prefix_key != 0)
        call.headers.add("X-Prefix-Key",
                         std::to_string(what.request.prefix_key));
    call.body = engine_body(what);
    return call;
}

order_result to_order_result(order_id order, collected_response const& response)
{
    order_result result{order, order_result::outcome::unknown, response.status,
                        ""};
    if (response.status == 0)
    {
        if (response.stage == call_stage::not_sent)
            result.what = order_result::outcome::refused;
        return result;
    }
    if (auto const body = from_text(response.body))
        if (body->isObject())
            result.code = text_or((*body)["error"], "code", "");
    if (response.status == 200)
        result.what = order_result::outcome::done;
    else if (response.status < 500 || response.status == 503)
        result.what = order_result::outcome::refused;
    return result;
}

} // namespace

http_engine_port::http_engine_port(event_sink& sink) : sink_(&sink) {}

void http_engine_port::configure(
    std::shared_ptr<declaration const> configuration)
{
    configuration_ = std::move(configuration);
}

std::optional<std::string>
http_engine_port::find_url(worker_id const& worker) const
{
    if (!configuration_)
        return std::nullopt;
    auto const entry = configuration_->workers.find(worker);
    if (entry == configuration_->workers.end())
        return std::nullopt;
    return entry->second.url;
}

void http_engine_port::start(start_attempt const& what)
{
    auto const base = find_url(what.worker);
    if (!base)
    {
        sink_->post(attempt_failure{what.attempt, failure_stage::not_sent, 0,
                                    "undeclared", "the worker is not declared",
                                    std::nullopt});
        return;
    }
    calls_.start(
        what.attempt, stream_call(*base, what),
        std::make_shared<stream_observer>(what.attempt, *sink_, calls_));
}

void http_engine_port::cancel(cancel_attempt const& what)
{
    calls_.cancel(what.attempt);
    auto const base = find_url(what.worker);
    if (!what.stop_at_engine || !base)
        return;
    http_call call;
    call.method = "DELETE";
    call.url = *base + "/v1/streams/" + percent_encode(what.request.str());
    call.deadline = std::chrono::steady_clock::now() + cancel_timeout;
    call.repeatable = true;
    // The result is ignored: the engine itself cancels a stream that is not
    // read for some time.
    calls_.client().start(
        std::move(call),
        std::make_shared<response_observer>([](collected_response const&) {}));
}

void http_engine_port::order(order_id order, worker_id const& worker,
                             char const* path, std::string body,
                             fencing_number fence, time_point deadline)
{
    auto const base = find_url(worker);
    if (!base)
    {
        sink_->post(order_result{order, order_result::outcome::refused, 0,
                                 "undeclared"});
        return;
    }
    http_call call;
    call.method = "POST";
    call.url = *base + path;
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Fencing-Number", std::to_string(fence.value()));
    call.body = std::move(body);
    call.deadline = shell_clock::to_steady(deadline);
    call.connect_timeout = connect_timeout;
    calls_.client().start(
        std::move(call),
        std::make_shared<response_observer>(
            [order, sink = sink_](collected_response const& response)
            { sink->post(to_order_result(order, response)); }));
}

void http_engine_port::load(load_adapter const& what)
{
    Json::Value body;
    body["lora_name"] = what.name.str();
    body["lora_path"] = what.adapter.adapter().str() + "/" +
                        std::to_string(what.adapter.version().value());
    order(what.order, what.worker, "/v1/load_lora_adapter", to_text(body),
          what.fence, what.deadline);
}

void http_engine_port::unload(unload_adapter const& what)
{
    Json::Value body;
    body["lora_name"] = what.name.str();
    order(what.order, what.worker, "/v1/unload_lora_adapter", to_text(body),
          what.fence, what.deadline);
}

/// Failure: an engine's second answer to an earlier request arrives on a kept
/// connection in place of the newer report. Adapter slots would be settled by
/// the engine's state before the last orders. A report that names another
/// request is ignored.
void http_engine_port::request_load_reports(
    std::vector<worker_id> const& workers)
{
    for (worker_id const& worker : workers)
    {
        auto const base = find_url(worker);
        if (!base)
            continue;
        time_point const asked_at = shell_clock::now();
        http_call call;
        call.url = *base + "/load";
        std::string const name = "load-" + std::to_string(++last_report_);
        call.headers.add("X-Request-Id", name);
        call.deadline = std::chrono::steady_clock::now() + report_timeout;
        call.repeatable = true;
        calls_.client().start(
            std::move(call),
            std::make_shared<response_observer>(
                [worker, asked_at, name,
                 sink = sink_](collected_response const& response)
                {
                    auto const named = response.headers.find("X-Request-Id");
                    if (response.status != 200 || (named && *named != name))
                        return;
                    if (auto report = parse_engine_report(worker, response.body,
                                                          asked_at))
                        sink->post(std::move(*report));
                }));
    }
}

std::optional<engine_report> parse_engine_report(worker_id const& worker,
                                                 std::string_view text,
                                                 time_point asked_at)
{
    auto const value = from_text(text);
    if (!value || !value->isObject() || !(*value)["adapters"].isArray())
        return std::nullopt;
    engine_report report;
    report.worker = worker;
    report.boot = boot_id(text_or(*value, "boot_id", ""));
    report.as_of =
        asked_at - std::chrono::milliseconds(number_or(*value, "age_ms", 0));
    report.running = number_or(*value, "running", 0);
    report.waiting = number_or(*value, "waiting", 0);
    std::size_t const total_requests = report.running + report.waiting;
    for (Json::Value const& one : (*value)["adapters"])
    {
        // Engines that list only names do not report requests per adapter.
        // Each adapter then counts as running all requests, so that no busy
        // adapter is treated as idle.
        if (one.isString())
            report.adapters.push_back(
                {engine_name(one.asString()), total_requests});
        else
            report.adapters.push_back(
                {engine_name(text_or(one, "name", "")),
                 number_or(one, "running", total_requests)});
    }
    return report;
}

} // namespace mulberry
