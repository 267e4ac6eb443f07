/// Communicates with other VMs over HTTP: forwarded requests are answered as
/// event streams, messages are sent as JSON-RPC.
#ifndef MULBERRY_HTTP_PEER_PORT_HPP
#define MULBERRY_HTTP_PEER_PORT_HPP

#include "call_registry.hpp"
#include "event_sink.hpp"
#include "http_client.hpp"
#include "ids.hpp"
#include "ports.hpp"
#include "timeline.hpp"

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace mulberry
{

class http_peer_port : public peer_port
{
public:
    /// The references outlive this object.
    http_peer_port(vm_id self, std::string key, causal_clock& clock,
                   event_sink& sink);

    void forward(forward_request const& what,
                 std::string const& address) override;
    void cancel(attempt_id attempt) override;
    void send_message(send_peer_message const& what,
                      std::string const& address) override;

private:
    struct in_flight_counter;

    vm_id self_;
    std::string key_;
    causal_clock* clock_;
    event_sink* sink_;
    std::shared_ptr<in_flight_counter> in_flight_;
    call_registry calls_;
    http_client message_client_;
};

} // namespace mulberry

#endif
