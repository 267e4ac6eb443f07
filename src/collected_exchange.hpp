/// A small call over the pool, collected and answered once.
#ifndef MULBERRY_COLLECTED_EXCHANGE_HPP
#define MULBERRY_COLLECTED_EXCHANGE_HPP

#include "backend_pool.hpp"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace mulberry
{

/// How a call ended. Value.
struct collected_answer
{
    /// 0: there was no whole answer.
    int status = 0;
    std::string body;
    /// Given up when its time was over.
    bool timed_out = false;
};

struct collected_call
{
    backend_address to;
    /// A whole request.
    std::string bytes;
    exchange_options options;
    /// When the call is given up, as of now; asked again when that moment is
    /// there, so that it may move on. Steady clock.
    std::function<std::chrono::steady_clock::time_point()> current_deadline;
    /// The head of the answer came. May be empty.
    std::function<void(int status)> on_head;
    /// Called once, unless the call is cancelled; never within the start.
    std::function<void(collected_answer)> on_end;
};

/// Starts the call. Cancelling what is returned closes its connection, and
/// nothing is called any more.
std::shared_ptr<backend_exchange>
start_collected(asio::io_context& io, backend_pool& pool, collected_call call);

} // namespace mulberry

#endif
