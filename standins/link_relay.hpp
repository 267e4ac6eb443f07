/// A named link: one listening address whose connections go on to another.
#ifndef MULBERRY_LINK_RELAY_HPP
#define MULBERRY_LINK_RELAY_HPP

#include "relay_connection.hpp"
#include "standin_loop.hpp"

#include <asio/ip/tcp.hpp>
#include <json/json.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace mulberry::standins
{

/// Relays TCP connections from a local port to a target and injects network
/// faults. Only on the loop's thread, after the loop has started.
class link_relay
{
public:
    link_relay(standin_loop& loop, asio::ip::tcp::endpoint target);
    std::uint16_t port() const { return address_.port(); }
    /// Applies the link faults named in a control request.
    void control(Json::Value const& order);

private:
    void listen();
    void bind();
    void accept();
    void remove_closed();
    void refuse(bool refused);

    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::endpoint address_;
    asio::ip::tcp::acceptor acceptor_;
    bool refused_ = false;
    std::shared_ptr<link_state> state_ = std::make_shared<link_state>();
    std::vector<std::shared_ptr<relay_connection>> connections_;
};

} // namespace mulberry::standins

#endif
