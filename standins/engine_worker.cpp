#include "engine_worker.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <charconv>
#include <random>
#include <utility>

namespace mulberry::standins
{
namespace
{

constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::size_t default_tokens = 16;
constexpr std::size_t max_completion_tokens = 100'000;
constexpr int default_priority = 5;
/// Minimum length of a stream for an injected fault; shorter streams would be
/// complete before the fault takes effect.
constexpr std::size_t min_tokens_for_fault = 3;
constexpr std::string_view wrong_model_name = "another-adapter@1#0";
constexpr std::chrono::minutes weight_fetch_timeout{10};

steady_time now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t parse_fence(std::string const& text)
{
    std::uint64_t fence = 0;
    char const* const end = text.data() + text.size();
    auto const [stopped, error] = std::from_chars(text.data(), end, fence);
    if (!text.empty() && (error != std::errc{} || stopped != end))
        throw bad_request("X-Fencing-Number is not a number");
    return fence;
}

std::string new_boot_id()
{
    std::random_device random;
    return fmt::format("boot-{:08x}{:08x}", random(), random());
}

std::string prompt_of(completion_kind kind, Json::Value const& body)
{
    if (kind == completion_kind::text)
    {
        if (!body["prompt"].isString())
            throw bad_request("prompt must be a string");
        return body["prompt"].asString();
    }
    if (!body["messages"].isArray() || body["messages"].empty())
        throw bad_request("messages must be a non-empty array");
    std::string prompt;
    for (Json::Value const& message : body["messages"])
    {
        if (!message["content"].isString())
            throw bad_request("content must be a string");
        prompt += (prompt.empty() ? "" : "\n") + message["content"].asString();
    }
    return prompt;
}

std::size_t tokens_of(Json::Value const& body)
{
    std::uint64_t const tokens =
        body.get("max_tokens", Json::UInt64(default_tokens)).asUInt64();
    if (tokens == 0 || tokens > max_completion_tokens)
        throw bad_request("max_tokens out of range");
    return tokens;
}

std::string text_member(Json::Value const& body, char const* name)
{
    if (!body[name].isString() || body[name].asString().empty())
        throw bad_request(std::string("missing or not a string: ") + name);
    return body[name].asString();
}

/// Reports whether a fetch from the weight store succeeded.
class weight_fetch : public http_call_observer
{
public:
    explicit weight_fetch(std::function<void(bool ok)> done)
        : done_(std::move(done))
    {
    }
    void on_status(int status, http_headers const&) override
    {
        status_ = status;
    }
    void on_data(std::string_view) override {}
    void on_end() override { done_(status_ == 200); }
    void on_failure(call_stage, std::string const&) override { done_(false); }

private:
    std::function<void(bool ok)> done_;
    int status_ = 0;
};

} // namespace

fault_counts engine_faults()
{
    return fault_counts{"fail_loads", "hang_streams", "drop_streams",
                        "wrong_model"};
}

engine_worker::engine_worker(engine_settings const& settings,
                             engine_process& process)
    : settings_(settings), process_(process),
      journal_(process.history, settings.name),
      streams_(settings, journal_, process.loop),
      adapters_(settings.adapter_slots),
      report_timer_(process.loop, [this] { update_load_report(); }),
      boot_id_(new_boot_id())
{
    update_load_report();
}

void engine_worker::handle(standin_request const& request,
                           std::string const& path)
{
    if (refuses_connections_)
        return request.answer->abort();
    if (now() < restart_ends_at_)
        return respond(request, 503, R"({"error":{"code":"restarting"}})");
    if (request.http.method == "GET")
        handle_read(request, path);
    else
        handle_change(request, path);
}

void engine_worker::handle_read(standin_request const& request,
                                std::string const& path)
{
    if (path == "/v1/models")
        respond(request, 200, models());
    else if (path == "/load")
    {
        if (settings_.report_lag.count() == 0)
            update_load_report();
        respond(request, 200, report());
    }
    else if (path == "/cache_events")
        respond(request, 200,
                streams_.prefixes().events(
                    number_parameter(request.http, "after"), now()));
    else if (path.starts_with(streams_path))
        resume(request, percent_decode(path.substr(streams_path.size())));
    else
        respond(request, 404, R"({"error":{"code":"no_such_path"}})");
}

void engine_worker::handle_change(standin_request const& request,
                                  std::string const& path)
{
    if (request.http.method == "DELETE" && path.starts_with(streams_path))
    {
        bool const cancelled =
            streams_.cancel(percent_decode(path.substr(streams_path.size())));
        return respond(request, 200,
                       fmt::format(R"({{"cancelled":{}}})", cancelled));
    }
    if (request.http.method != "POST")
        return respond(request, 404, R"({"error":{"code":"no_such_path"}})");
    Json::Value const body = parse_object(request.http.body);
    if (path == "/v1/completions")
        complete(request, completion_kind::text, body);
    else if (path == "/v1/chat/completions")
        complete(request, completion_kind::chat, body);
    else if (path == "/v1/load_lora_adapter")
        load(request, body);
    else if (path == "/v1/unload_lora_adapter")
        unload(request, body);
    else
        respond(request, 404, R"({"error":{"code":"no_such_path"}})");
}

void engine_worker::complete(standin_request const& request,
                             completion_kind kind, Json::Value const& body)
{
    engine_call call = make_call(request, text_member(body, "model"));
    if (call.request.empty())
        call.request =
            fmt::format("{}-{}", settings_.name, ++unnamed_requests_);
    std::string const prompt = prompt_of(kind, body);
    std::size_t const tokens = tokens_of(body);
    int const priority = body.get("priority", default_priority).asInt();
    bool const streamed = body.get("stream", false).asBool();
    if (is_stale_fence(call.fence))
        return refuse(request, call, 412, "old_fencing_number");
    if (!adapters_.is_loaded(call.name))
        return refuse(request, call, 404, "model_not_loaded");
    std::string const model =
        take_fault("wrong_model") ? std::string(wrong_model_name) : call.name;
    completion_order order{
        call, completion_text(kind, call.request, model, prompt, tokens),
        answer_headers(call.request)};
    order.prefix = request.header("X-Prefix-Key");
    order.priority = priority;
    order.streamed = streamed;
    order.resumable = request.header("X-Resumable") == "1";
    if (streamed && tokens >= min_tokens_for_fault)
    {
        if (take_fault("hang_streams"))
            order.fault = stream_fault::hang;
        else if (take_fault("drop_streams"))
            order.fault = stream_fault::drop;
    }
    if (!streams_.start(std::move(order), request.answer))
        refuse(request, call, 503, "overloaded");
}

void engine_worker::resume(standin_request const& request,
                           std::string const& id)
{
    std::uint64_t const offset = number_parameter(request.http, "offset");
    if (!streams_.resume(id, offset, answer_headers(id), request.answer))
        respond(request, 404, R"({"error":{"code":"no_such_stream"}})");
}

void engine_worker::load(standin_request const& request,
                         Json::Value const& body)
{
    engine_call const call = make_call(request, text_member(body, "lora_name"));
    std::string const path = text_member(body, "lora_path");
    if (is_stale_fence(call.fence))
        return refuse(request, call, 412, "old_fencing_number");
    switch (adapters_.start_load(call.name))
    {
    case load_start::already_loaded:
        return refuse(request, call, 409, "already_loaded");
    case load_start::no_free_slot:
        return refuse(request, call, 409, "no_free_slot");
    case load_start::joined:
        loads_.at(call.name).waiting_requests.push_back(request);
        return;
    case load_start::started:
        loads_.emplace(call.name, pending_load{call, {request}});
        fetch_weights(call.name, path);
    }
}

void engine_worker::fetch_weights(std::string const& name,
                                  std::string const& path)
{
    if (process_.weights_url.empty())
        return on_weights_fetched(name, boot_, true);
    http_call call;
    call.url = process_.weights_url + "/weights/" + path;
    call.deadline = now() + weight_fetch_timeout;
    process_.client.start(
        std::move(call),
        std::make_shared<weight_fetch>(
            [this, &loop = process_.loop, name, boot = boot_](bool ok)
            {
                loop.post([this, name, boot, ok]
                          { on_weights_fetched(name, boot, ok); });
            }));
}

void engine_worker::on_weights_fetched(std::string const& name,
                                       std::uint64_t boot, bool ok)
{
    process_.loop.after(settings_.load_time, [this, name, boot, ok]
                        { finish_load(name, boot, ok); });
}

void engine_worker::finish_load(std::string const& name, std::uint64_t boot,
                                bool ok)
{
    if (boot != boot_)
        return;
    bool const loaded = ok && !take_fault("fail_loads");
    adapters_.finish_load(name, loaded);
    auto const load = loads_.extract(name);
    journal_.record(loaded ? "loaded" : "load_failed", load.mapped().call);
    for (standin_request const& waiting_request :
         load.mapped().waiting_requests)
        respond(waiting_request, loaded ? 200 : 503,
                loaded ? "{}" : R"({"error":{"code":"load_failed"}})");
}

void engine_worker::unload(standin_request const& request,
                           Json::Value const& body)
{
    engine_call const call = make_call(request, text_member(body, "lora_name"));
    if (is_stale_fence(call.fence))
        return refuse(request, call, 412, "old_fencing_number");
    if (!adapters_.unload(call.name))
        return respond(request, 404,
                       R"({"error":{"code":"model_not_loaded"}})");
    journal_.record("unloaded", call);
    streams_.abort_streams_for(call.name);
    respond(request, 200, "{}");
}

void engine_worker::control(Json::Value const& order)
{
    if (order.isMember("load_ms"))
        settings_.load_time =
            std::chrono::milliseconds(order["load_ms"].asUInt());
    if (order.isMember("refuse_connections"))
        refuses_connections_ = order["refuse_connections"].asBool();
    streams_.control(order);
    if (order.get("restart", false).asBool())
        restart();
}

void engine_worker::restart()
{
    ++boot_;
    boot_id_ = new_boot_id();
    highest_fence_ = 0;
    restart_ends_at_ = now() + settings_.restart_time;
    journal_.record("restarted", {});
    streams_.abort_all_streams();
    adapters_.clear();
    for (auto const& [name, load] : std::exchange(loads_, {}))
    {
        for (standin_request const& waiting_request : load.waiting_requests)
            waiting_request.answer->abort();
    }
    update_load_report();
}

bool engine_worker::take_fault(std::string_view name)
{
    return faults_.take(name) || process_.faults.take(name);
}

bool engine_worker::is_stale_fence(std::uint64_t fence)
{
    if (!settings_.checks_fence || fence == 0)
        return false;
    if (fence < highest_fence_)
        return true;
    highest_fence_ = fence;
    return false;
}

engine_call engine_worker::make_call(standin_request const& request,
                                     std::string name)
{
    return {request.header("X-Request-Id"), std::move(name),
            parse_fence(request.header("X-Fencing-Number"))};
}

http_headers engine_worker::answer_headers(std::string const& request) const
{
    http_headers headers;
    headers.add("X-Boot-Id", boot_id_);
    if (!request.empty())
        headers.add("X-Request-Id", request);
    return headers;
}

void engine_worker::respond(standin_request const& request, int status,
                            std::string const& body) const
{
    http_response response = json_response(status, body);
    http_headers const headers = answer_headers(request.header("X-Request-Id"));
    for (auto const& [name, value] : headers.fields())
        response.headers.add(name, value);
    request.answer->respond(std::move(response));
}

void engine_worker::refuse(standin_request const& request,
                           engine_call const& call, int status,
                           std::string_view code)
{
    journal_.record("refused", call);
    respond(request, status,
            fmt::format(R"({{"error":{{"code":"{}"}}}})", code));
}

std::string engine_worker::models() const
{
    Json::Value json;
    Json::Value base;
    base["id"] = settings_.base_model;
    base["parent"] = Json::Value();
    json["data"].append(base);
    for (std::string const& name : adapters_.loaded())
    {
        Json::Value entry;
        entry["id"] = name;
        entry["parent"] = settings_.base_model;
        json["data"].append(entry);
    }
    return to_text(json);
}

std::string engine_worker::report() const
{
    Json::Value json;
    json["boot_id"] = boot_id_;
    json["running"] = Json::UInt64(report_.running);
    json["waiting"] = Json::UInt64(report_.waiting);
    json["batch_slots"] = Json::UInt64(settings_.batch.slots);
    json["adapter_slots"] = Json::UInt64(settings_.adapter_slots);
    json["adapters"] = Json::Value(Json::arrayValue);
    for (auto const& [name, running] : report_.adapters)
    {
        Json::Value adapter;
        adapter["name"] = name;
        adapter["running"] = Json::UInt64(running);
        json["adapters"].append(std::move(adapter));
    }
    json["age_ms"] =
        Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(
                        now() - report_.at)
                        .count());
    return to_text(json);
}

void engine_worker::update_load_report()
{
    report_.running = streams_.running();
    report_.waiting = streams_.waiting();
    report_.adapters.clear();
    for (std::string const& name : adapters_.loaded())
        report_.adapters.emplace_back(name, journal_.in_flight(name));
    report_.at = now();
    if (settings_.report_lag.count() > 0)
        report_timer_.set(report_.at + settings_.report_lag);
}

} // namespace mulberry::standins
