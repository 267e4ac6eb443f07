/// Simulated VM processes and the connections between them, in virtual time.
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

/// One incarnation of a VM: a process from its start to its end.
struct core_process
{
    std::size_t vm = 0;
    vm_id id;
    std::unique_ptr<vm_core> core;
    bool running = true;
    bool paused = false;
    /// Events that arrived while the process was paused.
    std::deque<core_event> inbox;
    /// Actions that are decided but not yet performed.
    std::deque<action> outbox;
    bool flush_due = false;
    /// Open connections in which this process is the client.
    std::map<attempt_id, core_link_ptr> open;
    /// Connections of forwarded requests that this process must answer.
    std::map<request_id, core_link_ptr> writers;
    /// Requests that callers sent to this process.
    std::set<request_id> caller_requests;
    /// Those of caller_requests that have no final answer yet.
    std::set<request_id> unanswered;
    /// When the process learned that it must leave.
    std::optional<time_point> left_at;
    /// Requests that arrived after the process should have stopped accepting.
    std::set<std::string> late_requests;
    /// When the process started or was last resumed after a pause.
    time_point woken_at{};
};
using core_process_ptr = std::shared_ptr<core_process>;

/// A process's connection to an engine, a service or a peer.
struct core_link
{
    core_process_ptr client;
    attempt_id attempt;
    /// The peer at the other end; null for an engine or a service.
    core_process_ptr server;
    request_id request;
    bool open = true;
    /// The network drops everything: nothing arrives at either end.
    bool silent = false;
    /// Whether an event of the answer was sent.
    bool begun = false;
    time_point last_arrival{};
    time_point last_byte{};
};

/// State that the fakes share.
struct core_context
{
    virtual_time& time;
    std::mt19937_64& random;
    history& seen;
    /// Delivers an event to the client of a link, in order, unless the link is
    /// closed or silent.
    std::function<void(core_link_ptr const&, core_event)> send;
    /// Number of requests that engines accepted.
    std::uint64_t runs = 0;
    bool slow_network = false;

    std::size_t below(std::size_t bound) { return random() % bound; }
    /// True with a probability of `share` percent.
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

/// The id of the caller's request, such as c12, for the id of an entry VM's
/// try, such as c12.2.
inline request_id root_of(request_id const& id)
{
    return request_id(id.str().substr(0, id.str().find('.')));
}

std::string encode_event(answer_piece const& piece);
answer_piece decode_event(std::string const& text);

} // namespace mulberry::tests

#endif
