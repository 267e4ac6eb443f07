/// The socket of a caller's connection, with a last word before it is closed.
/// Private to the HTTP server: it includes RESTinio.
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

/// What is known of the request that a connection reads or answers. Used on
/// the connection's strand only.
struct caller_state
{
    /// Bytes of a request came, and its end has not.
    bool receiving = false;
    /// Whole requests that came, and whose answers RESTinio has not yet.
    std::size_t unanswered_requests = 0;
    /// The server itself ends the connection.
    bool closing = false;
    /// Bytes of answers that the socket has not taken yet. From any thread.
    std::atomic<std::size_t> unsent_bytes{0};
    /// The bytes to send to a caller whose request did not arrive in time.
    std::function<std::string()> timeout_response;
    /// The caller closed its sending half while it waits for its only answer.
    /// Returns the bytes to send; none if that answer has begun.
    std::function<std::string()> half_close_response;
};

/// RESTinio closes the connection of a caller that sends too slowly, or that
/// closes its sending half, without a word: the caller sees a network fault
/// and sends the same again. RESTinio has no hook for either, but its socket
/// is a parameter of it; so the response is written right before the close.
/// Thread safety: as RESTinio's, by the connection's strand.
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
        // The handler keeps the connection, and so this socket.
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

    /// RESTinio calls this first when it closes a connection. Within no
    /// handler of a read and with nothing to answer, its read timeout does.
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
        // With more than one request on the way, or part of an answer, the
        // page would be taken for the answer to another.
        else if (failure == restinio::asio_ns::error::eof &&
                 state_->unanswered_requests == 1 && !writing_)
            write_before_close(state_->half_close_response());
    }

    /// As much as the socket takes at once: a page is far smaller than its
    /// buffer, and nobody waits for a caller who is about to be cut off.
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
