/// Listener for peers: receives forwarded requests and messages of other VMs.
#ifndef MULBERRY_PEER_LISTENER_HPP
#define MULBERRY_PEER_LISTENER_HPP

#include "decision_loop.hpp"
#include "http_server.hpp"
#include "kernel.hpp"
#include "pending_answers.hpp"
#include "rpc_executor.hpp"
#include "timeline.hpp"

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <string>

namespace mulberry
{

struct peers_settings
{
    vm_id vm;
    http_server_options server;
    std::string key;
};

class peer_listener : public daemon_part
{
public:
    /// Precondition: the references outlive this object.
    peer_listener(peers_settings settings, pending_answers& answers,
                  causal_clock& clock, timeline& events);
    ~peer_listener() override;

    void start(kernel& parts) override;
    void stop() override;
    /// Returns IP:PORT, with the actual port. Precondition: start() was called.
    std::string address() const;

private:
    void handle(http_request request, std::shared_ptr<http_answer> out);
    void handle_forward(http_request const& request,
                        std::shared_ptr<http_answer> out);
    /// Passes a peer's message to the core; throws rpc_failure if it is
    /// invalid.
    Json::Value tell(Json::Value const& parameters);
    Json::Value status() const;
    Json::Value read_timeline(Json::Value const& parameters) const;
    /// Starts this VM's drain and returns at once.
    Json::Value drain();

    peers_settings settings_;
    pending_answers* answers_;
    causal_clock* clock_;
    timeline* timeline_;
    decision_loop* decisions_ = nullptr;
    std::unique_ptr<rpc_executor> executor_;
    std::unique_ptr<http_server> server_;
};

/// Returns the event as an object with the members "vm", "number", "stamp",
/// "part", "kind" and "text".
Json::Value timeline_event_json(timeline_event const& event, vm_id const& vm);

} // namespace mulberry

#endif
