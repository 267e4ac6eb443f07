/// Pool of persistent HTTP/1.1 connections to workers.
///
/// libcurl retries a request on its own when a reused connection turns out to
/// be closed, and this cannot be turned off, so a request that must run at most
/// once could run twice. This pool never retries. The pool reports how far a
/// request got, and the relay decides whether to retry.
#ifndef MULBERRY_BACKEND_POOL_HPP
#define MULBERRY_BACKEND_POOL_HPP

#include "answer_matcher.hpp"
#include "caller_memory.hpp"
#include "http_client.hpp"
#include "http_message.hpp"
#include "outgoing_request.hpp"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

struct backend_address
{
    std::string ip;
    std::uint16_t port = 0;
    friend auto operator<=>(backend_address const&,
                            backend_address const&) = default;
};

/// Parses "IP:PORT". Returns nullopt if the text has no colon, nothing before
/// the colon or no valid port; the IP itself is not checked.
std::optional<backend_address> parse_address(std::string const& text);

/// Receives the events of one exchange. Exactly one of on_end, on_failure and
/// on_undecided is called, as the last event, unless the exchange is cancelled.
/// The methods may start and cancel exchanges.
class exchange_observer
{
public:
    virtual ~exchange_observer() = default;
    virtual void on_head(int status, http_headers headers) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The answer is complete. `framed` is false if the answer was delimited
    /// only by the end of the connection.
    virtual void on_end(bool framed) = 0;
    virtual void on_failure(call_stage stage, std::string const& reason) = 0;
    /// In place of on_failure: an answer came that may be the request's own or
    /// a copy of an earlier one.
    virtual void on_undecided()
    {
        on_failure(call_stage::sent, "an answer that may be another request's");
    }
};

/// Which connection of a pool carries an exchange. Value.
struct connection_place
{
    /// Counts the connections of the pool from 1; 0: not known.
    std::uint64_t connection = 0;
    /// The exchanges that the connection carried before.
    std::uint64_t position = 0;
    friend bool operator==(connection_place const&,
                           connection_place const&) = default;
};

/// Handle of a request in progress. Destroying the handle does not cancel the
/// request.
class backend_exchange
{
public:
    virtual ~backend_exchange() = default;
    virtual connection_place place() const { return {}; }
    /// Closes the connection at once; the observer is not called again. No
    /// effect after the exchange has ended.
    virtual void cancel() = 0;
};

/// How a request is sent.
struct exchange_options
{
    /// Timeout for opening a new connection.
    std::chrono::milliseconds connect_timeout{500};
    /// An idle connection is reused only if its last answer ended at most this
    /// long ago.
    std::chrono::milliseconds max_idle{1000};
    /// nullopt: the server is known to send one answer to each request.
    ///
    /// Else copies of earlier answers on the connection are skipped: those that
    /// name an earlier request, and those without a name that have the status
    /// of the answer before, if that had no name either. Another answer without
    /// a name is taken if it is the first on its connection, or if the mark is
    /// optional. If the mark is optional, an answer without a name that may be
    /// a copy may also be the own one: the exchange ends as undecided unless
    /// another answer follows at once. A connection is kept behind answers that
    /// have their names, or whose marks are optional, and never carries two
    /// requests with one name.
    std::optional<answer_mark> mark = {};
    friend bool operator==(exchange_options const&,
                           exchange_options const&) = default;
};

/// Thread safety: none; used on the thread that runs the io_context.
class backend_pool
{
public:
    /// `io` outlives this object. `source` is the local IP address of all
    /// connections; empty: any. `memory`, which connections are charged to,
    /// outlives the io_context; null: none.
    explicit backend_pool(asio::io_context& io, std::string source = {},
                          caller_memory* memory = nullptr);
    ~backend_pool();
    backend_pool(backend_pool const&) = delete;
    backend_pool& operator=(backend_pool const&) = delete;

    /// Sends the request over an idle connection or a new one. The observer is
    /// never called within this call.
    std::shared_ptr<backend_exchange>
    start(backend_address const& to, outgoing_request request,
          exchange_options const& options,
          std::shared_ptr<exchange_observer> observer);
    /// Closes idle connections that are past their idle timeout.
    void sweep();
    /// Number of connections opened since construction, failed attempts
    /// included.
    std::uint64_t connections_opened() const;
    /// Number of answers skipped as copies of earlier ones.
    std::uint64_t answers_skipped() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
