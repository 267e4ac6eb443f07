/// The socket of a caller's connection, which writes an error response before
/// RESTinio closes the connection. Private to the HTTP server: this header
/// includes RESTinio.
#ifndef MULBERRY_HTTP_CALLER_SOCKET_HPP
#define MULBERRY_HTTP_CALLER_SOCKET_HPP

#include <restinio/asio_include.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace mulberry
{

/// State of the requests that a connection reads or answers. Thread safety:
/// used on the connection's strand only, except unsent_bytes.
struct caller_state
{
    /// The socket's descriptor; valid while the connection is open.
    int descriptor = -1;
    /// A request was received in part.
    bool receiving = false;
    /// Complete requests received whose answers were not yet handed to
    /// RESTinio.
    std::size_t unanswered_requests = 0;
    /// The server itself closes the connection.
    bool closing = false;
    /// Bytes of answers not yet written to the socket. Any thread.
    std::atomic<std::size_t> unsent_bytes{0};
    /// Returns the response for a caller whose request did not arrive within
    /// the read timeout.
    std::function<std::string()> timeout_response;
    /// Called when the caller has closed its sending half while it waits for
    /// its only answer. Returns the response to send; empty if that answer has
    /// begun.
    std::function<std::string()> half_close_response;
};

/// RESTinio closes the connection of a caller that sends too slowly, or that
/// closes its sending half, without a response: the caller sees a network fault
/// and retries the same request. RESTinio has no hook for either case, but its
/// socket type is a template parameter, so this socket writes the response
/// right before the close. Thread safety: used on the connection's strand only.
class caller_socket : public restinio::asio_ns::ip::tcp::socket
{
    using plain = restinio::asio_ns::ip::tcp::socket;
    using error_code = restinio::asio_ns::error_code;

public:
    caller_socket(plain socket, std::shared_ptr<caller_state> state)
        : plain(std::move(socket)), state_(std::move(state))
    {
    }

    template <class Buffers, class Handler>
    void async_read_some(Buffers const& buffers, Handler&& handler)
    {
        auto const executor = restinio::asio_ns::get_associated_executor(
            handler, plain::get_executor());
        // The handler keeps the connection alive, and so this socket.
        plain::async_read_some(
            buffers,
            restinio::asio_ns::bind_executor(
                executor,
                [this, handler = std::forward<Handler>(handler)](
                    error_code const& failure, std::size_t bytes) mutable
                {
                    reading_ = true;
                    on_read(failure);
                    handler(failure, bytes);
                    reading_ = false;
                }));
    }

    template <class Buffers, class Handler>
    void async_write_some(Buffers const& buffers, Handler&& handler)
    {
        auto const executor = restinio::asio_ns::get_associated_executor(
            handler, plain::get_executor());
        writing_ = true;
        plain::async_write_some(
            buffers,
            restinio::asio_ns::bind_executor(
                executor,
                [this, handler = std::forward<Handler>(handler)](
                    error_code const& failure, std::size_t bytes) mutable
                {
                    writing_ = false;
                    handler(failure, bytes);
                }));
    }

    /// RESTinio calls this first when it closes a connection. A call outside of
    /// the handlers of reads and writes, with no request to answer, comes from
    /// RESTinio's read timeout.
    void shutdown(shutdown_type what, error_code& failure)
    {
        bool const timed_out = state_->receiving &&
                               state_->unanswered_requests == 0 &&
                               !state_->closing && !reading_ && !writing_;
        if (timed_out)
            write_before_close(state_->timeout_response());
        plain::shutdown(what, failure);
    }

private:
    void on_read(error_code const& failure)
    {
        if (!failure)
            state_->receiving = true;
        // With more than one request pending, or an answer sent in part, the
        // caller would take this response for the answer to another request.
        else if (failure == restinio::asio_ns::error::eof &&
                 state_->unanswered_requests == 1 && !writing_)
            write_before_close(state_->half_close_response());
    }

    /// Writes as much as the socket accepts without blocking: an error response
    /// is far smaller than the socket's buffer, and the server does not wait
    /// for a caller whose connection is about to be closed.
    void write_before_close(std::string const& response)
    {
        error_code ignored;
        plain::non_blocking(true, ignored);
        if (!response.empty() && !ignored)
            plain::write_some(restinio::asio_ns::buffer(response), ignored);
    }

    std::shared_ptr<caller_state> state_;
    bool reading_ = false;
    bool writing_ = false;
};

} // namespace mulberry

#endif
