/// An HTTP client over libcurl's multi interface, one thread for all calls.
#ifndef MULBERRY_HTTP_CLIENT_HPP
#define MULBERRY_HTTP_CLIENT_HPP

#include "http_message.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mulberry
{

/// How far a failed call had got.
enum class call_stage
{
    /// No byte of the request was written: the back end cannot have seen it.
    not_sent,
    /// Some of the request was written; it may have run.
    sent,
    /// The response had begun.
    answering
};

struct http_call
{
    std::string method = "GET";
    /// http://a.b.c.d:port/path?query
    std::string url;
    /// Fields of the connection (see is_connection_header) are left out.
    http_headers headers;
    std::string body;
    /// The call may be made more than once. Only then does it go over a kept
    /// connection, and libcurl makes it again when that turns out to be dead.
    /// Every other call has a connection of its own.
    bool repeatable = false;
    /// The whole call is given up at this moment (steady clock).
    std::chrono::steady_clock::time_point deadline;
    std::chrono::milliseconds connect_timeout{1000};
    /// Give up when no byte arrives for that long after the request was
    /// begun, nor any more of the body can be sent; 0 for never.
    std::chrono::milliseconds silence_timeout{0};
};

/// Sees the progress of one call. Called on the client's thread; must not
/// block or throw. Exactly one of on_end and on_failure comes last, unless
/// cancelled.
class http_call_observer
{
public:
    virtual ~http_call_observer() = default;
    virtual void on_status(int status, http_headers const& headers) = 0;
    virtual void on_data(std::string_view data) = 0;
    /// The response ended properly (length or last chunk seen). One that ends
    /// with its connection is a failure, since it may have been cut.
    virtual void on_end() = 0;
    virtual void on_failure(call_stage stage, std::string const& text) = 0;
};

/// Names a started call, so that it can be cancelled.
enum class call_handle : std::uint64_t
{
};

/// Thread safe. A connection is used again only after an answer that ended
/// properly: one with an answer outstanding could hand a late answer to the
/// next request.
class http_client
{
public:
    http_client();
    /// Gives up every call without telling its observer, joins the thread.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    call_handle start(http_call call,
                      std::shared_ptr<http_call_observer> observer);
    /// Closes the call's connection; its observer hears nothing more (a
    /// callback that is running finishes).
    void cancel(call_handle handle);

    /// Makes the call and waits. Not on the client's own thread. status 0:
    /// the call failed, `body` says why, `stage` how far it had got.
    struct result
    {
        int status = 0;
        http_headers headers;
        std::string body;
        call_stage stage = call_stage::not_sent;
    };
    result call_and_wait(http_call call);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
