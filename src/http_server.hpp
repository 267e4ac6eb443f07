/// An HTTP/1.1 server over RESTinio that binds one address.
#ifndef MULBERRY_HTTP_SERVER_HPP
#define MULBERRY_HTTP_SERVER_HPP

#include "caller_memory.hpp"
#include "http_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace mulberry
{

/// The answer to one request. May outlive the server. If the last reference is
/// destroyed before the answer is complete, the connection is closed. Calls
/// after the answer is complete do nothing. Thread safety: any thread may call
/// every member, also with locks held, except that on_closed() may run its
/// callback within the call.
class http_answer
{
public:
    virtual ~http_answer() = default;
    /// Sends a complete response. Precondition: nothing was sent before.
    virtual void respond(http_response response) = 0;
    /// Starts a chunked response. Precondition: nothing was sent before.
    virtual void start_stream(int status, http_headers headers) = 0;
    /// Sends one chunk without delay. Precondition: start_stream() was called.
    virtual void write(std::string chunk) = 0;
    /// Sends the last chunk, which ends a chunked response.
    virtual void finish() = 0;
    /// Closes the connection after the bytes already written were sent. The
    /// last chunk is not sent, so the reader sees a truncated response.
    virtual void abort() = 0;
    /// Sets a callback that runs once if the connection closes before the
    /// answer is complete. A caller that closes only its sending half counts as
    /// disconnected. The callback runs on a thread of the server, within this
    /// call if the connection is closed already, or on the thread that destroys
    /// the server if the server is destroyed first.
    virtual void on_closed(std::function<void()> callback) = 0;
    /// Bytes passed to this answer that are not yet written to the socket.
    virtual std::size_t unsent_bytes() const = 0;
};

/// Handles a request. Called on a thread of the server; must not block.
using http_handler =
    std::function<void(http_request, std::shared_ptr<http_answer>)>;

struct http_server_options
{
    /// A numeric address; the server binds nothing else.
    std::string address = "127.0.0.1";
    /// 0: the kernel chooses a free port.
    std::uint16_t port = 0;
    std::size_t threads = 1;
    /// The server runs on this io_context instead of on threads of its own. The
    /// caller runs the io_context on one thread; an answer given on that thread
    /// is sent without a thread switch. Preconditions: the io_context outlives
    /// the server, and no thread runs the io_context when the server is
    /// destroyed.
    asio::io_context* shared_io = nullptr;
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    std::size_t max_header_bytes = 32UL * 1024;
    std::size_t max_connections = 4096;
    /// What happens to connections beyond max_connections: they are closed at
    /// once, unread; or they wait until another one closes. With shared_io, one
    /// that is idle or stalls is closed in favor of them, as for
    /// charges_connections.
    bool closes_excess_connections = false;
    /// What requests are charged to; null: each request is bounded, their sum
    /// is not. Preconditions: outlives the shared io_context, which is set.
    caller_memory* memory = nullptr;
    /// Whether connections are charged, too. If one does not fit, the
    /// connection that has been idle for longest is closed in its favor, or
    /// else the one whose request has made no progress for longest; both for
    /// caller_memory::stall_time at least.
    bool charges_connections = false;
    /// SO_RCVBUF and SO_SNDBUF of connections, which the kernel doubles; 0: the
    /// kernel's choice.
    int socket_buffer_bytes = 0;
    /// Whether to take a new connection; one that is not taken is closed
    /// unread. Empty: all are taken.
    std::function<bool()> may_open;
    /// Limit for receiving a request, and for the idle time of a connection
    /// between requests.
    std::chrono::milliseconds read_timeout{15000};
    /// Limit for the caller to read what was written to its connection.
    std::chrono::milliseconds write_timeout{30000};
    /// Closes connections whose peer has not answered the kernel's probes, or
    /// acknowledged what was written, for this long: a peer behind a cut link
    /// closes nothing. 0: no limit of the server's own.
    std::chrono::milliseconds dead_peer_timeout{0};
    /// Makes the server's own error responses. For 400, 413, 414 and 431, the
    /// response has no body if this function is not set. For 408 (a request
    /// that does not arrive in time), 502 (the caller closed its sending half
    /// before the answer began) and 503 (a request that does not fit into
    /// `memory`), the connection is closed without a response if this function
    /// is not set. Input that is not HTTP closes the
    /// connection without a response in any case.
    std::function<http_response(int status)> error_page;
};

/// A running server. Thread safe.
class http_server
{
public:
    /// Starts listening. Throws std::runtime_error if the server cannot listen
    /// on the address.
    http_server(http_server_options options, http_handler handler);
    /// Waits up to one second for complete answers to be sent (not with
    /// shared_io), closes every connection and joins the threads. Precondition:
    /// not called on a thread of the server.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// The bound port.
    std::uint16_t port() const;
    /// From now on every answer closes its connection. New connections are
    /// still accepted.
    void close_after_answers();
    /// Closes the connections on which no request is being answered.
    void close_idle();
    /// Whether a request is being answered, or was received in part.
    bool has_requests() const;
    /// Whether bytes of an answer are not yet written to a socket.
    bool has_unsent() const { return unsent_bytes() > 0; }
    /// Bytes of all answers that are not yet written to a socket.
    std::size_t unsent_bytes() const;
    /// Connections that were closed in favor of new ones.
    std::uint64_t evicted_connections() const;
    /// Stops accepting connections. Each open connection is closed by its next
    /// answer, which carries `Connection: close`.
    void stop_accepting();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
