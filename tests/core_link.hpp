/// A connection in virtual time, and a VM's process at its ends.
#ifndef MULBERRY_TESTS_CORE_LINK_HPP
#define MULBERRY_TESTS_CORE_LINK_HPP

#include "history.hpp"
#include "virtual_time.hpp"
#include "vm_core.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace mulberry::tests
{

using mulberry_test::answer_piece;
using mulberry_test::history;

struct core_link;
using core_link_ptr = std::shared_ptr<core_link>;

/// One life of a VM's process.
struct core_process
{
    std::size_t vm = 0;
    vm_id id;
    std::unique_ptr<vm_core> core;
    bool running = true;
    bool paused = false;
    /// Events that wait for a paused process.
    std::deque<core_event> inbox;
    /// Decided and not yet performed; a pause holds them back.
    std::deque<action> outbox;
    bool flush_due = false;
    /// Attempts that this process has open, as the client.
    std::map<attempt_id, core_link_ptr> open;
    /// Forwarded requests that it is to answer.
    std::map<request_id, core_link_ptr> writers;
    /// Callers' requests, and those without a final answer.
    std::set<request_id> caller_requests;
    std::set<request_id> unanswered;
    std::optional<time_point> left_at;
    /// Requests that came in when no more should have.
    std::set<std::string> late_requests;
    time_point woken_at{};
};
using core_process_ptr = std::shared_ptr<core_process>;

/// A process's connection to an engine, a service or a peer.
struct core_link
{
    core_process_ptr client;
    attempt_id attempt;
    /// The peer at the other end, if it is one.
    core_process_ptr server;
    request_id request;
    bool open = true;
    /// Lost by something in between: nothing arrives any more at either end.
    bool silent = false;
    bool begun = false;
    time_point last_arrival{};
    time_point last_byte{};
};

/// What the fakes share.
struct core_context
{
    virtual_time& time;
    std::mt19937_64& random;
    history& seen;
    /// Hands an event to the client of a link, in order, unless it is closed.
    std::function<void(core_link_ptr const&, core_event)> send;
    std::uint64_t runs = 0;
    bool slow_network = false;

    std::size_t below(std::size_t bound) { return random() % bound; }
    bool percent(std::size_t share) { return below(100) < share; }
    duration between(int min_ms, int max_ms)
    {
        auto const span = static_cast<std::size_t>(max_ms - min_ms + 1);
        return std::chrono::milliseconds(min_ms +
                                         static_cast<int>(below(span)));
    }
    duration latency()
    {
        return slow_network ? between(1, 150) : between(1, 2);
    }
};

/// Requests are named C12 by callers and C12.1, C12.2 by an entry VM's tries.
inline request_id root_of(request_id const& id)
{
    return request_id(id.str().substr(0, id.str().find('.')));
}

std::string encode_event(answer_piece const& piece);
answer_piece decode_event(std::string const& text);

} // namespace mulberry::tests

#endif
