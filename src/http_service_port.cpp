#include "http_service_port.hpp"

#include "response_observer.hpp"
#include "shell_clock.hpp"
#include "stream_observer.hpp"

#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};
/// How long a call continues after its request's deadline. An answer that
/// arrives after the caller received "unknown" is kept for the caller's next
/// retry. The core cancels calls whose answers it no longer needs.
constexpr std::chrono::seconds late_answer_grace{35};

http_call to_call(call_service const& what, std::string const& base)
{
    http_call call;
    call.method = what.request.method;
    call.url = base + what.request.target;
    for (auto const& [name, value] : what.request.headers)
        call.headers.add(name, value);
    call.headers.add("X-Request-Id", what.request.id.str());
    if (!what.request.key.empty())
        call.headers.add("Idempotency-Key", what.request.key.str());
    if (what.request.body)
        call.body = *what.request.body;
    call.deadline =
        shell_clock::to_steady(what.request.deadline) + late_answer_grace;
    call.connect_timeout = connect_timeout;
    return call;
}

service_answer to_answer(collected_response response)
{
    return {response.status,
            response.headers.find("Content-Type")
                .value_or("application/octet-stream"),
            std::move(response.body)};
}

} // namespace

http_service_port::http_service_port(event_sink& sink) : sink_(&sink) {}

void http_service_port::configure(
    std::shared_ptr<declaration const> configuration)
{
    urls_.clear();
    for (auto const& [id, service] : configuration->services)
        for (service_worker_declaration const& worker : service.workers)
            urls_[worker.id] = worker.url;
}

void http_service_port::call(call_service const& what)
{
    auto const entry = urls_.find(what.worker);
    if (entry == urls_.end())
    {
        sink_->post(attempt_failure{
            what.attempt, failure_stage::not_sent, 0, "undeclared",
            "the service's worker is not declared", std::nullopt});
        return;
    }
    auto done = [attempt = what.attempt, sink = sink_,
                 calls = &calls_](collected_response response)
    {
        calls->ended(attempt);
        if (response.status != 0)
            sink->post(service_attempt_answer{attempt,
                                              to_answer(std::move(response))});
        else
            sink->post(
                attempt_failure{attempt, to_failure_stage(response.stage), 0,
                                "connection", response.failure, std::nullopt});
    };
    calls_.start(what.attempt, to_call(what, entry->second),
                 std::make_shared<response_observer>(std::move(done)));
}

void http_service_port::cancel(attempt_id attempt)
{
    calls_.cancel(attempt);
}

} // namespace mulberry
