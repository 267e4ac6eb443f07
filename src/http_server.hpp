/// An HTTP/1.1 server over RESTinio that binds one address.
#ifndef MULBERRY_HTTP_SERVER_HPP
#define MULBERRY_HTTP_SERVER_HPP

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

/// The answer to one request. Thread safe: every member may be called from
/// any thread and with locks held, except that on_closed() may call back;
/// calls after the answer is complete do nothing. If all references go without
/// an answer, the connection is closed. May outlive the server.
class http_answer
{
public:
    virtual ~http_answer() = default;
    /// Sends a whole response. Precondition: nothing was sent before.
    virtual void respond(http_response response) = 0;
    /// Starts a chunked response. Precondition: nothing was sent before.
    virtual void start_stream(int status, http_headers headers) = 0;
    /// Sends one chunk at once. Precondition: start_stream was called.
    virtual void write(std::string chunk) = 0;
    /// Ends a chunked response properly.
    virtual void finish() = 0;
    /// Closes the connection, after what was written has gone out, so that the
    /// reader sees a cut, never an end.
    virtual void abort() = 0;
    /// Called once, on a thread of the server, if the connection closes before
    /// the answer was complete; a caller that only closes its sending half
    /// counts as gone. Within this call if the connection is closed already,
    /// and on the destroying thread if the server goes first.
    virtual void on_closed(std::function<void()> callback) = 0;
    /// Bytes handed over by write() that the socket has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;
};

/// Takes a request. Called on a thread of the server; must not block.
using http_handler =
    std::function<void(http_request, std::shared_ptr<http_answer>)>;

struct http_server_options
{
    /// A numeric address; the server binds nothing else.
    std::string address = "127.0.0.1";
    /// 0 lets the kernel pick.
    std::uint16_t port = 0;
    std::size_t threads = 1;
    /// Serves on this io_context, which the owner runs on one thread, instead
    /// of threads of its own: an answer made on that thread then goes out
    /// without a change of threads. It outlives the server, which is destroyed
    /// when nothing runs it any more.
    asio::io_context* shared_io = nullptr;
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    std::size_t max_header_bytes = 32UL * 1024;
    std::size_t max_connections = 4096;
    /// The longest that a request may take to arrive, and a connection stay
    /// idle between requests.
    std::chrono::milliseconds read_timeout{15000};
    /// The longest that a caller may take to read what was written to it.
    std::chrono::milliseconds write_timeout{30000};
    /// Makes the responses of the server itself, by status: 400, 413, 414 and
    /// 431; without it they have no body. Also 408 for a request that does not
    /// arrive in time, and 502 for one whose caller closed its sending half
    /// before the answer began; without it those are cut off in silence. What
    /// is not HTTP at all is always cut off.
    std::function<http_response(int status)> error_page;
};

/// A running server. Thread safe.
class http_server
{
public:
    /// Starts listening. Throws std::runtime_error if the address is taken.
    http_server(http_server_options options, http_handler handler);
    /// Stops: gives complete answers up to a second to go out, closes every
    /// connection and joins the threads. Not on a thread of the server.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// The port bound.
    std::uint16_t port() const;
    /// From now on every answer closes its connection; new ones are accepted
    /// still.
    void close_after_answers();
    /// Closes the connections on which no request is being answered.
    void close_idle();
    /// Whether a socket has yet to take bytes of an answer.
    bool has_unsent() const;
    /// Stops accepting connections; open ones go on, each until its next
    /// answer, which says `Connection: close`.
    void stop_accepting();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
