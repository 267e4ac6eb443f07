#include "link_relay.hpp"

#include <utility>

namespace mulberry::standins
{

link_relay::link_relay(standin_loop& loop, asio::ip::tcp::endpoint target)
    : target_(std::move(target)), address_(asio::ip::address_v4::loopback(), 0),
      acceptor_(loop.context())
{
    bind();
    address_ = acceptor_.local_endpoint();
    listen();
}

void link_relay::control(Json::Value const& order)
{
    if (order.isMember("delay_ms"))
        state_->delay = std::chrono::milliseconds(order["delay_ms"].asUInt());
    if (order.isMember("refuse"))
        refuse(order["refuse"].asBool());
    if (order.isMember("block"))
        state_->blocked = order["block"].asBool();
    bool const silent = order.get("silent", false).asBool();
    bool const cut = order.get("cut", false).asBool();
    for (auto const& connection : connections_)
    {
        if (silent)
            connection->blackhole();
        if (cut)
            connection->close();
        if (!state_->blocked)
            connection->unblock();
    }
}

void link_relay::bind()
{
    acceptor_.open(address_.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(address_);
}

void link_relay::listen()
{
    acceptor_.listen();
    accept();
}

void link_relay::accept()
{
    acceptor_.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
            {
                auto const connection = std::make_shared<relay_connection>(
                    std::move(socket), state_);
                remove_closed();
                connections_.push_back(connection);
                connection->start(target_);
            }
            accept();
        });
}

void link_relay::remove_closed()
{
    std::erase_if(connections_, [](auto const& connection)
                  { return !connection->is_open(); });
}

void link_relay::refuse(bool refused)
{
    if (refused == std::exchange(refused_, refused))
        return;
    if (!refused)
        return listen();
    acceptor_.close();
    // The kernel refuses connections to a socket that is bound but not
    // listening, and other programs cannot take the port.
    bind();
}

} // namespace mulberry::standins
