/// Closes a connection whose caller may still be sending. Private to the HTTP
/// server: this header includes Asio as RESTinio does.
#ifndef MULBERRY_LINGERING_CLOSE_HPP
#define MULBERRY_LINGERING_CLOSE_HPP

#include "caller_memory.hpp"

#include <restinio/asio_include.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>

namespace mulberry
{

/// Failure: a server answers a request that it has not read and closes the
/// connection; the kernel resets it because of the unread bytes, and the reset
/// discards the answer at the caller. So what the caller sends is read and
/// discarded until the caller closes, or for a few seconds. Thread safety:
/// none; used on the thread that runs the io_context.
class lingering_close : public std::enable_shared_from_this<lingering_close>
{
    using tcp_socket = restinio::asio_ns::ip::tcp::socket;

public:
    /// `charge` is released when the connection is closed.
    lingering_close(tcp_socket socket, connection_memory charge);

    /// Sends the end of the stream. Precondition: called once.
    void start();
    /// Closes the connection at once.
    void cut();
    bool is_closed() const { return !socket_.is_open(); }

private:
    using clock = std::chrono::steady_clock;

    void read();
    void await_deadline();

    tcp_socket socket_;
    connection_memory charge_;
    restinio::asio_ns::steady_timer timer_;
    clock::time_point const deadline_;
    /// The caller counts as gone at this time.
    clock::time_point idle_deadline_;
    std::array<char, 4096> discarded_{};
};

} // namespace mulberry

#endif
