/// A call over the connection pool whose whole answer is buffered and reported
/// once.
#ifndef MULBERRY_COLLECTED_EXCHANGE_HPP
#define MULBERRY_COLLECTED_EXCHANGE_HPP

#include "backend_pool.hpp"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace mulberry
{

/// How a call ended. Value.
struct collected_answer
{
    /// HTTP status; 0 if there was no complete answer.
    int status = 0;
    std::string body;
    http_headers headers = {};
    /// The call was given up at its deadline.
    bool timed_out = false;
    /// There was an answer, which may be one to an earlier call.
    bool undecided = false;
};

struct collected_call
{
    backend_address to;
    /// The encoded request, head and body.
    std::string bytes;
    exchange_options options;
    /// An answer that is delimited only by the end of its connection counts as
    /// none. Set for VMs, which frame all their answers: such a one was cut.
    bool framed_only = false;
    /// An answer with a larger body counts as none. More than reports of
    /// workers and messages between VMs have.
    std::size_t max_body_bytes = 1024UL * 1024;
    /// Returns the deadline of the call. Called at the start and again when
    /// that time has come, so that the deadline may move. Steady clock.
    std::function<std::chrono::steady_clock::time_point()> current_deadline;
    /// Called when the head of the answer has arrived. May be empty.
    std::function<void(int status)> on_head;
    /// Called once when the call has ended, unless it is cancelled; never from
    /// within start_collected().
    std::function<void(collected_answer)> on_end;
};

/// Starts the call. Cancelling the returned exchange closes its connection; no
/// callback is called after that.
std::shared_ptr<backend_exchange>
start_collected(asio::io_context& io, backend_pool& pool, collected_call call);

} // namespace mulberry

#endif
