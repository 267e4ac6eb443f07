#include "peer_listener.hpp"

#include "error_page.hpp"
#include "json_text.hpp"
#include "metrics_text.hpp"
#include "peer_codec.hpp"
#include "request_intake.hpp"
#include "shell_clock.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::string_view forward_path = "/forward/";
constexpr std::size_t queue_capacity = 1024;
constexpr std::size_t max_timeline_events = 10000;
constexpr std::size_t max_unsent_bytes = 4UL * 1024 * 1024;

/// Writes the answer to a forwarded request to a peer's connection.
class peer_writer : public response_writer
{
public:
    peer_writer(request_id id, std::shared_ptr<http_answer> out)
        : id_(std::move(id)), out_(std::move(out))
    {
        http_headers headers;
        headers.add("Content-Type", "text/event-stream");
        out_->start_stream(200, std::move(headers));
    }

    void on_event(std::uint64_t, std::string const& payload) override
    {
        if (out_->unsent_bytes() > max_unsent_bytes)
        {
            out_->abort();
            return;
        }
        idle_ = false;
        out_->write("data: " + payload + "\n\n");
    }

    void on_end() override
    {
        out_->write("data: [DONE]\n\n");
        out_->finish();
    }

    void on_error(error const& what) override
    {
        out_->write("event: error\ndata: " + error_text(what, id_.str()) +
                    "\n\n");
        out_->finish();
    }

    void on_service_answer(service_answer const&, bool) override {}

    void keep_alive() override
    {
        // No event is written while a request is queued. These comment lines
        // let the entry VM distinguish that from a dead connection.
        if (idle_)
            out_->write(": waiting\n\n");
        idle_ = true;
    }

private:
    request_id id_;
    std::shared_ptr<http_answer> out_;
    /// No event was written since the last keep_alive(). Used on the decision
    /// thread only, as are all functions.
    bool idle_ = true;
};

} // namespace

Json::Value timeline_event_json(timeline_event const& event, vm_id const& vm)
{
    Json::Value value;
    value["vm"] = vm.str();
    value["number"] = Json::UInt64(event.number);
    value["stamp"] = event.stamp.str();
    value["part"] = event.part;
    value["kind"] = event.kind;
    value["text"] = event.text;
    return value;
}

peer_listener::peer_listener(peers_settings settings, pending_answers& answers,
                             causal_clock& clock, timeline& events)
    : settings_(std::move(settings)), answers_(&answers), clock_(&clock),
      timeline_(&events)
{
}

peer_listener::~peer_listener() = default;

void peer_listener::start(kernel& parts)
{
    decisions_ = &parts.find<decision_loop>("decisions");
    executor_ = std::make_unique<rpc_executor>(
        std::map<std::string, rpc_method>{
            {"tell", [this](Json::Value const& in) { return tell(in); }},
            {"status", [this](Json::Value const&) { return status(); }},
            {"timeline",
             [this](Json::Value const& in) { return read_timeline(in); }},
            {"drain", [this](Json::Value const&) { return drain(); }}},
        queue_capacity);
    http_server_options options = settings_.server;
    options.error_page = server_error_page;
    server_ = std::make_unique<http_server>(
        std::move(options),
        [this](http_request request, std::shared_ptr<http_answer> out)
        { handle(std::move(request), std::move(out)); });
}

void peer_listener::stop()
{
    server_.reset();
    executor_.reset();
}

std::string peer_listener::address() const
{
    return settings_.server.address + ":" + std::to_string(server_->port());
}

void peer_listener::handle(http_request request,
                           std::shared_ptr<http_answer> out)
{
    if (!is_authorized(request, settings_.key))
    {
        out->respond(unauthorized_response());
        return;
    }
    if (auto const stamp = request.headers.find("X-Stamp"))
        if (auto const peer_stamp = parse_causal_stamp(*stamp))
            clock_->observe(*peer_stamp);
    if (request.method == "POST" && request.path == "/rpc")
        executor_->submit(std::move(request.body), std::move(out));
    else if (request.method == "POST" && request.path.starts_with(forward_path))
        handle_forward(request, std::move(out));
    else
        out->respond(
            error_page(error(error_kind::not_found,
                             "no " + request.method + " " + request.path),
                       ""));
}

void peer_listener::handle_forward(http_request const& request,
                                   std::shared_ptr<http_answer> out)
{
    auto forwarded = parse_forwarded(request.body, shell_clock::now());
    worker_id const worker(
        percent_decode(request.path.substr(forward_path.size())));
    if (!forwarded || worker.empty())
    {
        out->respond(error_page(
            error(error_kind::bad_request, "not a forwarded request"), ""));
        return;
    }
    request_id const id = forwarded->id;
    if (!submit_request(
            *decisions_, *answers_, id, std::make_shared<peer_writer>(id, out),
            out, forwarded_request_arrived{worker, std::move(*forwarded)}))
        out->abort();
}

Json::Value peer_listener::tell(Json::Value const& parameters)
{
    if (auto const peer_stamp =
            parse_causal_stamp(text_or(parameters, "stamp", "")))
        clock_->observe(*peer_stamp);
    auto message = parse_peer_message(parameters["message"]);
    if (!message)
        throw rpc_failure(-32602, "not a peer message");
    decisions_->post(peer_message_received{
        vm_id(text_or(parameters, "from", "")), std::move(*message)});
    return true;
}

Json::Value peer_listener::status() const
{
    return status_json(*decisions_->status());
}

Json::Value peer_listener::read_timeline(Json::Value const& parameters) const
{
    std::size_t const limit = std::min<std::size_t>(
        number_or(parameters, "limit", max_timeline_events),
        max_timeline_events);
    Json::Value events = Json::arrayValue;
    for (timeline_event const& event :
         timeline_->read(number_or(parameters, "after", 0), limit))
        events.append(timeline_event_json(event, settings_.vm));
    return events;
}

Json::Value peer_listener::drain()
{
    decisions_->post(leave_requested{"an operator asked for it"});
    Json::Value result;
    result["vm"] = settings_.vm.str();
    result["state"] = "leaving";
    return result;
}

} // namespace mulberry
