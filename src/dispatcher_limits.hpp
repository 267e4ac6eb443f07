/// Limits of a worker's dispatcher, and what its owner was granted.
#ifndef MULBERRY_DISPATCHER_LIMITS_HPP
#define MULBERRY_DISPATCHER_LIMITS_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <vector>

namespace mulberry
{

/// Limits that a worker_dispatcher keeps to. Value.
struct dispatcher_limits
{
    /// The maximum number of queued requests.
    std::size_t max_queue = 256;
    /// The maximum time between a request's arrival and its deadline.
    duration max_deadline = std::chrono::seconds(600);
    /// How long a stream may be silent before it is resumed on a new
    /// connection.
    duration progress_timeout = std::chrono::seconds(2);
    /// How long an order may be unanswered: several times the duration of a
    /// load from a slow store. An order whose connection went silent delays the
    /// worker's loads for that long; the effect of an order that only took
    /// longer is found in a later report.
    duration order_timeout = std::chrono::seconds(10);
    /// How long an eviction waits for its intent to be recorded in the table.
    /// Meanwhile the adapter is loaded but is sent no requests.
    duration intent_timeout = std::chrono::seconds(2);
    /// The maximum time that the network can delay bytes of a process that has
    /// ended or of a connection that was closed. Only reports from after that
    /// time show the effects of all those bytes.
    duration settle_time = std::chrono::seconds(2);
    /// The maximum number of consecutive resumes without a new event; also how
    /// often a request may be queued again.
    int max_resumes = 4;
    /// How long to wait before a failed load or eviction is tried again, and
    /// before an unreachable worker is sent requests again.
    duration load_backoff = std::chrono::seconds(1);
    /// How long a request waits for an adapter slot before a busy adapter is
    /// drained and evicted for it.
    duration starvation_timeout = std::chrono::seconds(2);
};

/// Among the open intents, stands for intents of earlier owners that were lost
/// with an unreadable row: each adapter that they loaded may still be unloaded.
inline constexpr char const* lost_intents = "*";

/// What an owner knows about a worker when it acquires ownership. Value.
struct ownership_grant
{
    fencing_number fence;
    /// Whether an earlier owner (suspect) may still send to the worker. Until
    /// worker_dispatcher::suspects_stopped() is called, every adapter that an
    /// earlier owner loaded stays pinned.
    bool has_suspects = false;
    /// Names whose unload an earlier owner recorded and may still order. No
    /// request is routed to these names until that is ruled out.
    std::vector<engine_name> open_intents;
    /// The worker's incarnation when its first owner took it; 0 if unknown.
    /// Earlier owners may have sent orders to this one and any later one.
    worker_start first_incarnation;
};

} // namespace mulberry

#endif
