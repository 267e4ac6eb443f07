/// Checks whether an address accepts TCP connections.
#ifndef MULBERRY_CONNECT_CHECK_HPP
#define MULBERRY_CONNECT_CHECK_HPP

#include "backend_pool.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace mulberry
{

/// One check. Thread safety: none; used on the thread that runs the
/// io_context.
class connect_check : public std::enable_shared_from_this<connect_check>
{
public:
    explicit connect_check(asio::io_context& io) : socket_(io), timer_(io) {}

    /// Connects after `delay` and calls `done` with whether the connection
    /// opened in time. Called once. Returns false, and never calls `done`, if
    /// the address is not an IP address. `source` is the local IP address;
    /// empty: any.
    bool start(backend_address const& to, std::string const& source,
               std::chrono::milliseconds delay, std::function<void(bool)> done);
    /// Ends the check; `done` is not called any more.
    void cancel();

private:
    void connect();
    void report(bool opened);

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::ip::tcp::endpoint to_;
    asio::ip::address source_;
    std::function<void(bool)> done_;
};

} // namespace mulberry

#endif
