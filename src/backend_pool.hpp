/// Kept HTTP/1.1 connections to workers.
///
/// libcurl repeats a request by itself when a kept connection turns out to be
/// closed, and has no switch against it: a call that may run once could run
/// twice. This pool never repeats anything; it tells how far a request got and
/// leaves the rest to the relay.
#ifndef MULBERRY_BACKEND_POOL_HPP
#define MULBERRY_BACKEND_POOL_HPP

#include "http_client.hpp"
#include "http_message.hpp"

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

/// Reads IP:PORT; nothing when it is none.
std::optional<backend_address> parse_address(std::string const& text);

/// Sees one exchange. Exactly one of on_end and on_failure comes last, unless
/// the exchange is cancelled. May start and cancel exchanges.
class exchange_observer
{
public:
    virtual ~exchange_observer() = default;
    virtual void on_head(int status, http_headers headers) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The answer ended as its framing says. `framed` is false when only the
    /// end of the connection ended it.
    virtual void on_end(bool framed) = 0;
    virtual void on_failure(call_stage stage, std::string const& reason) = 0;
};

/// A request on its way. Dropping it does not cancel it.
class backend_exchange
{
public:
    virtual ~backend_exchange() = default;
    /// Closes the connection at once; the observer hears nothing more.
    virtual void cancel() = 0;
};

/// How a request is sent.
struct exchange_options
{
    /// How long a new connection may take.
    std::chrono::milliseconds connect_timeout{500};
    /// A kept connection is used only if its last answer is younger.
    std::chrono::milliseconds max_idle{1000};
};

/// Thread safety: none; used on the thread that runs the io_context.
class backend_pool
{
public:
    /// `io` outlives this object.
    explicit backend_pool(asio::io_context& io);
    ~backend_pool();
    backend_pool(backend_pool const&) = delete;
    backend_pool& operator=(backend_pool const&) = delete;

    /// Sends `bytes`, a whole request. The observer is told later, never
    /// within this call.
    std::shared_ptr<backend_exchange>
    start(backend_address const& to, std::string bytes,
          exchange_options const& options,
          std::shared_ptr<exchange_observer> observer);
    /// Closes kept connections that were idle for too long.
    void sweep();
    /// Connections opened since the start.
    std::uint64_t connections_opened() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
