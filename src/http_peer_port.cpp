#include "http_peer_port.hpp"

#include "json_text.hpp"
#include "peer_codec.hpp"
#include "response_observer.hpp"
#include "shell_clock.hpp"
#include "stream_observer.hpp"

#include <map>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds message_timeout{1000};
/// The owner writes at least every 500 ms. After four times that without data,
/// the connection counts as lost on the path although neither end received an
/// error. Waiting for the request's deadline instead would leave the caller
/// without an answer until then.
constexpr std::chrono::milliseconds peer_silence_timeout{2000};
/// Limit of concurrent messages to one VM, so that a VM that does not answer
/// cannot accumulate connections. Further messages are dropped.
constexpr std::size_t max_messages_in_flight = 8;

} // namespace

/// Counts the messages in flight per address. Shared with the call observers.
///
/// Thread safety: both functions may be called from any thread.
struct http_peer_port::in_flight_counter
{
    std::mutex mutex;
    std::map<std::string, std::size_t> count;

    /// Returns false, without counting, if the limit is reached.
    bool begin(std::string const& address)
    {
        std::lock_guard const lock(mutex);
        std::size_t& address_count = count[address];
        if (address_count >= max_messages_in_flight)
            return false;
        ++address_count;
        return true;
    }

    void end(std::string const& address)
    {
        std::lock_guard const lock(mutex);
        auto const entry = count.find(address);
        if (--entry->second == 0)
            count.erase(entry);
    }
};

http_peer_port::http_peer_port(vm_id self, std::string key, causal_clock& clock,
                               event_sink& sink)
    : self_(std::move(self)), key_(std::move(key)), clock_(&clock),
      sink_(&sink), in_flight_(std::make_shared<in_flight_counter>())
{
}

void http_peer_port::forward(forward_request const& what,
                             std::string const& address)
{
    if (address.empty())
    {
        sink_->post(attempt_failure{
            what.attempt, failure_stage::not_sent, 0, "no_address",
            "the owner's address is unknown", std::nullopt});
        return;
    }
    http_call call;
    call.method = "POST";
    call.url =
        "http://" + address + "/forward/" + percent_encode(what.worker.str());
    call.headers.add("Authorization", "Bearer " + key_);
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Stamp", clock_->next().str());
    call.body = forwarded_text(what.request, shell_clock::now());
    call.deadline = shell_clock::to_steady(what.request.deadline);
    call.connect_timeout = connect_timeout;
    call.silence_timeout = peer_silence_timeout;
    calls_.start(
        what.attempt, std::move(call),
        std::make_shared<stream_observer>(what.attempt, *sink_, calls_));
}

void http_peer_port::cancel(attempt_id attempt)
{
    calls_.cancel(attempt);
}

void http_peer_port::send_message(send_peer_message const& what,
                                  std::string const& address)
{
    if (address.empty() || !in_flight_->begin(address))
        return;
    Json::Value body;
    body["jsonrpc"] = "2.0";
    body["id"] = 1;
    body["method"] = "tell";
    body["params"]["from"] = self_.str();
    body["params"]["stamp"] = clock_->next().str();
    body["params"]["message"] = peer_message_json(what.message);
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + "/rpc";
    call.headers.add("Authorization", "Bearer " + key_);
    call.headers.add("Content-Type", "application/json");
    call.body = to_text(body);
    // Messages are idempotent, so calls may be repeated and persistent
    // connections reused. At five hints a second, a new connection for each
    // message would cost more than all other work for it.
    call.repeatable = true;
    call.deadline = std::chrono::steady_clock::now() + message_timeout;
    call.connect_timeout = connect_timeout;
    message_client_.start(std::move(call), std::make_shared<response_observer>(
                                               [address, counts = in_flight_](
                                                   collected_response const&)
                                               { counts->end(address); }));
}

} // namespace mulberry
