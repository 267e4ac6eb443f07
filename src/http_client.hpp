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

/// How far a call had progressed when it failed.
enum class call_stage
{
    /// No byte of the request was written: the back end cannot have received
    /// the request.
    not_sent,
    /// Part of the request may have been written, so the request may have run.
    sent,
    /// The response had begun.
    answering
};

struct http_call
{
    std::string method = "GET";
    /// http://a.b.c.d:port/path?query
    std::string url;
    /// Connection fields (see is_connection_header) are not sent.
    http_headers headers;
    std::string body;
    /// The call may run more than once. Only such calls use kept connections,
    /// and libcurl retries them when a kept connection turns out to be dead.
    /// Every other call has a connection of its own.
    bool repeatable = false;
    /// The call fails if it has not ended by this time.
    std::chrono::steady_clock::time_point deadline;
    std::chrono::milliseconds connect_timeout{1000};
    /// The call fails when, after the request has begun, no byte is received
    /// and none of the body can be sent for this long; 0 for no limit.
    std::chrono::milliseconds silence_timeout{0};
};

/// Receives the progress of one call. Called on the client's thread; must not
/// block or throw. Exactly one of on_end and on_failure is called, last, unless
/// the call is cancelled.
class http_call_observer
{
public:
    virtual ~http_call_observer() = default;
    virtual void on_status(int status, http_headers const& headers) = 0;
    virtual void on_data(std::string_view data) = 0;
    /// The response is complete (by its length or last chunk). A response that
    /// ends with its connection is a failure, since it may be truncated.
    virtual void on_end() = 0;
    virtual void on_failure(call_stage stage, std::string const& text) = 0;
};

/// Identifies a started call for cancel().
enum class call_handle : std::uint64_t
{
};

/// A connection is reused only after a complete answer: on a connection with an
/// answer outstanding, the next request could receive that late answer. Thread
/// safety: any thread.
class http_client
{
public:
    http_client();
    /// Cancels every call without a callback to its observer and joins the
    /// thread.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    call_handle start(http_call call,
                      std::shared_ptr<http_call_observer> observer);
    /// Closes the call's connection. Its observer is not called any more, but a
    /// callback that is running may still finish after cancel() returns.
    void cancel(call_handle handle);

    /// Result of call_and_wait(). If the call failed, `status` is 0, `body`
    /// holds the reason and `stage` how far the call had progressed.
    struct result
    {
        int status = 0;
        http_headers headers;
        std::string body;
        call_stage stage = call_stage::not_sent;
    };
    /// Makes the call and waits for its end. Precondition: not called on the
    /// client's own thread.
    result call_and_wait(http_call call);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
