/// The socket of a caller's connection, which writes an error response before
/// RESTinio closes the connection. Private to the HTTP server: this header
/// includes RESTinio.
#ifndef MULBERRY_HTTP_CALLER_SOCKET_HPP
#define MULBERRY_HTTP_CALLER_SOCKET_HPP

#include "boot_clock.hpp"
#include "http_request_receipt.hpp"

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
struct caller_state final : public memory_holder
{
    /// `memory` may be null, and outlives this object.
    explicit caller_state(caller_memory* memory) : receipt(memory, *this) {}

    /// The state of the connection whose bytes are being parsed; null outside
    /// of the handlers of its socket. The parser's callbacks receive no context
    /// of this server.
    static caller_state*& parsing()
    {
        static thread_local caller_state* current = nullptr;
        return current;
    }

    /// A refusal, or the end of the connection, would be taken for the answer
    /// to an earlier request, or cut it.
    bool has_open_answer() const
    {
        return unanswered_requests > 0 || unsent_bytes > 0;
    }
    void read_on_if_answered()
    {
        if (!read_on || has_open_answer())
            return;
        defers_read = false;
        std::exchange(read_on, {})();
    }
    /// There is no memory for the request that is being received.
    void yield_request() override
    {
        refuse();
        if (close_soon)
            close_soon();
    }
    void refuse()
    {
        receipt.drop();
        refused = true;
    }

    /// The socket's descriptor; valid while the connection is open.
    int descriptor = -1;
    /// The request that is received.
    request_receipt receipt;
    /// Of its whole body; nullopt if it has none, or comes in chunks.
    std::optional<std::uint64_t> body_length;
    connection_memory charge;
    /// A request was received in part.
    bool receiving = false;
    /// The request that was received in part does not fit into the memory. The
    /// connection is closed with refusal_response.
    bool refused = false;
    /// The server itself closes the connection before it has read a request
    /// whose answer it has sent.
    bool lingers = false;
    /// The connection was closed in favor of a new one.
    bool evicted = false;
    /// When the last bytes arrived, the last answer was complete, or the
    /// connection was opened.
    time_point active_at{};
    /// Reads on, once the earlier request is answered. Empty if a read is
    /// pending.
    std::function<void()> read_on;
    /// Whether read_on is set. Any thread.
    std::atomic<bool> defers_read{false};
    /// Called when read_on is set.
    std::function<void()> on_read_deferred;
    /// Closes the connection in a later turn of the event loop.
    std::function<void()> close_soon;
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
    /// Returns the response to a request that does not fit into the memory.
    std::function<std::string()> refusal_response;
    /// Takes the socket of a connection that lingers.
    std::function<void(restinio::asio_ns::ip::tcp::socket)> linger;
};

/// Marks the state whose bytes are parsed within a scope.
class parsing_scope
{
public:
    explicit parsing_scope(caller_state& state)
        : before_(std::exchange(caller_state::parsing(), &state))
    {
    }
    ~parsing_scope() { caller_state::parsing() = before_; }
    parsing_scope(parsing_scope const&) = delete;
    parsing_scope& operator=(parsing_scope const&) = delete;

private:
    caller_state* before_;
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

    /// Bytes of a request behind one that is not answered stay in the socket:
    /// the request could not be refused.
    template <class Buffers, class Handler>
    void async_read_some(Buffers const& buffers, Handler&& handler)
    {
        if (state_->receipt.is_open() && state_->has_open_answer())
        {
            state_->read_on =
                [this, buffers,
                 deferred = std::forward<Handler>(handler)]() mutable
            { async_read_some(buffers, std::move(deferred)); };
            state_->defers_read = true;
            if (state_->on_read_deferred)
                state_->on_read_deferred();
            return;
        }
        auto const executor = restinio::asio_ns::get_associated_executor(
            handler, plain::get_executor());
        // The handler keeps the connection alive, and so this socket.
        plain::async_read_some(
            buffers,
            restinio::asio_ns::bind_executor(
                executor,
                [this, state = state_,
                 handler = std::forward<Handler>(handler)](
                    error_code const& failure, std::size_t bytes) mutable
                {
                    parsing_scope const scope(*state);
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
                [this, state = state_,
                 handler = std::forward<Handler>(handler)](
                    error_code const& failure, std::size_t bytes) mutable
                {
                    parsing_scope const scope(*state);
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
        if (state_->refused && !state_->has_open_answer() && !writing_)
        {
            write_before_close(state_->refusal_response());
            state_->lingers = !state_->evicted;
        }
        else if (timed_out)
            write_before_close(state_->timeout_response());
        if (!state_->lingers)
            plain::shutdown(what, failure);
    }

    /// RESTinio calls this right after shutdown().
    void close()
    {
        // The handler keeps the connection, which is using this socket.
        if (state_->read_on)
            restinio::asio_ns::post(
                plain::get_executor(),
                [dropped = std::exchange(state_->read_on, {})] {});
        error_code ignored;
        if (!plain::is_open() || !state_->lingers || !state_->linger)
        {
            plain::close(ignored);
            return;
        }
        plain::cancel(ignored);
        state_->linger(std::move(static_cast<plain&>(*this)));
    }

private:
    void on_read(error_code const& failure)
    {
        if (!failure)
        {
            state_->receiving = true;
            state_->active_at = boot_clock::now();
        }
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
