#include "caller_listener.hpp"

#include "completion_answer.hpp"
#include "error_page.hpp"
#include "json_text.hpp"
#include "metrics_text.hpp"
#include "request_intake.hpp"
#include "shell_clock.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::string_view services_path = "/services/";
constexpr std::size_t max_key_bytes = 200;

/// Writes a plain service's answer to a caller's connection.
class service_writer : public response_writer
{
public:
    service_writer(request_id id, std::shared_ptr<http_answer> out)
        : id_(std::move(id)), out_(std::move(out))
    {
    }
    void on_event(std::uint64_t, std::string const&) override {}
    void on_end() override {}
    void on_error(error const& what) override
    {
        out_->respond(error_page(what, id_.str()));
    }
    void on_service_answer(service_answer const& answer, bool replayed) override
    {
        http_response response{answer.status, {}, answer.body};
        response.headers.add("Content-Type", answer.content_type);
        response.headers.add("X-Request-Id", id_.str());
        if (replayed)
            response.headers.add("Idempotent-Replayed", "true");
        out_->respond(std::move(response));
    }
    void keep_alive() override {}

private:
    request_id id_;
    std::shared_ptr<http_answer> out_;
};

bool is_visible_ascii(std::string const& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c <= '~'; });
}

/// Returns whether the header is for this listener and is not forwarded to the
/// service.
bool is_listener_header(std::string name)
{
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return name == "idempotency-key" || name == "x-deadline-ms" ||
           name == "x-priority" || name == "x-request-id" ||
           name == "content-length" || name == "host" || name == "connection" ||
           name == "transfer-encoding" || name == "expect";
}

} // namespace

caller_listener::caller_listener(callers_settings settings,
                                 pending_answers& answers)
    : settings_(std::move(settings)), answers_(&answers)
{
}

caller_listener::~caller_listener() = default;

void caller_listener::start(kernel& parts)
{
    decisions_ = &parts.find<decision_loop>("decisions");
    http_server_options options = settings_.server;
    options.error_page = server_error_page;
    server_ = std::make_unique<http_server>(
        std::move(options),
        [this](http_request request, std::shared_ptr<http_answer> out)
        { handle(std::move(request), std::move(out)); });
}

void caller_listener::stop()
{
    server_.reset();
}

std::string caller_listener::address() const
{
    return settings_.server.address + ":" + std::to_string(server_->port());
}

void caller_listener::handle(http_request request,
                             std::shared_ptr<http_answer> out)
{
    bool const reads = request.method == "GET" || request.method == "HEAD";
    if (request.path.starts_with(services_path))
        handle_service(request, std::move(out));
    else if (request.method == "POST" && request.path == "/v1/completions")
        handle_completion(request, model_endpoint::completions, std::move(out));
    else if (request.method == "POST" && request.path == "/v1/chat/completions")
        handle_completion(request, model_endpoint::chat, std::move(out));
    else if (reads && request.path == "/v1/models")
        out->respond(models());
    else if (reads && request.path == "/healthz")
        out->respond(json_response(200, "{\"alive\":true}"));
    else if (reads && request.path == "/readyz")
    {
        auto const status = decisions_->status();
        bool const ready = status->takes_new_work && !status->leaving;
        out->respond(
            json_response(ready ? 200 : 503,
                          ready ? "{\"ready\":true}" : "{\"ready\":false}"));
    }
    else if (reads && request.path == "/metrics")
    {
        http_response page{200, {}, metrics_text(*decisions_->status())};
        page.headers.add("Content-Type", "text/plain; version=0.0.4");
        out->respond(std::move(page));
    }
    else
        out->respond(
            error_page(error(error_kind::not_found,
                             "no " + request.method + " " + request.path),
                       ""));
}

void caller_listener::handle_completion(http_request const& request,
                                        model_endpoint endpoint,
                                        std::shared_ptr<http_answer> out)
{
    auto parsed = parse_completion(request, endpoint, settings_.limits,
                                   shell_clock::now());
    if (auto const* fault = std::get_if<error>(&parsed))
    {
        out->respond(error_page(*fault, ""));
        return;
    }
    auto& incoming = std::get<model_request>(parsed);
    incoming.id = next_id();
    std::shared_ptr<response_writer> writer;
    if (incoming.streamed)
        writer = std::make_shared<streamed_answer>(incoming.id,
                                                   incoming.adapter, out);
    else
        writer = std::make_shared<buffered_answer>(
            incoming.id, incoming.adapter, endpoint, out);
    request_id const id = incoming.id;
    submit_request(*decisions_, *answers_, id, std::move(writer), out,
                   model_request_arrived{std::move(incoming)});
}

void caller_listener::handle_service(http_request const& request,
                                     std::shared_ptr<http_answer> out)
{
    std::string const rest = request.path.substr(services_path.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    auto const deadline =
        parse_deadline(request, settings_.limits, shell_clock::now());
    std::string const key =
        request.headers.find("Idempotency-Key").value_or("");
    if (auto const* fault = std::get_if<error>(&deadline))
    {
        out->respond(error_page(*fault, ""));
        return;
    }
    if (key.size() > max_key_bytes || !is_visible_ascii(key))
    {
        out->respond(error_page(error(error_kind::bad_request,
                                      "Idempotency-Key must be 1 to 200 "
                                      "visible characters"),
                                ""));
        return;
    }
    service_request incoming;
    incoming.id = next_id();
    incoming.service = service_id(rest.substr(0, slash));
    incoming.method = request.method;
    incoming.target = slash == rest.size() ? "/" : rest.substr(slash);
    if (!request.query.empty())
        incoming.target += "?" + request.query;
    for (auto const& [name, value] : request.headers.fields())
        if (!is_listener_header(name))
            incoming.headers.emplace_back(name, value);
    incoming.body = std::make_shared<std::string const>(request.body);
    incoming.key = idempotency_key(key);
    incoming.arrived = shell_clock::now();
    incoming.deadline = std::get<time_point>(deadline);
    request_id const id = incoming.id;
    submit_request(*decisions_, *answers_, id,
                   std::make_shared<service_writer>(id, out), out,
                   service_request_arrived{std::move(incoming)});
}

request_id caller_listener::next_id()
{
    return request_id(settings_.id_prefix + "-" + std::to_string(++last_id_));
}

http_response caller_listener::models() const
{
    auto const declared = decisions_->status()->declared;
    Json::Value body;
    body["object"] = "list";
    body["data"] = Json::arrayValue;
    if (declared)
        for (auto const& [id, adapter] : declared->adapters)
            for (adapter_version const version : adapter.versions)
            {
                Json::Value one;
                one["id"] = adapter_ref(id, version).str();
                one["object"] = "model";
                one["owned_by"] = declared->deployment;
                one["parent"] = adapter.base_model.str();
                body["data"].append(std::move(one));
            }
    return json_response(200, to_text(body));
}

} // namespace mulberry
