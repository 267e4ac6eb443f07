/// The limits and the grant under which an owner dispatches to a worker.
#ifndef MULBERRY_DISPATCHER_LIMITS_HPP
#define MULBERRY_DISPATCHER_LIMITS_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <vector>

namespace mulberry
{

struct dispatcher_limits
{
    std::size_t max_queue = 256;
    /// The longest that any request may last from its arrival.
    duration max_deadline = std::chrono::seconds(600);
    duration progress_timeout = std::chrono::seconds(2);
    /// Several times what a load takes from a slow store: an order whose
    /// connection went silent holds up its worker's loads for that long, and
    /// one that only took longer is found in a later report.
    duration order_timeout = std::chrono::seconds(10);
    /// How long an adapter that is to be evicted is kept from its requests
    /// while its intent is on its way to the table.
    duration intent_timeout = std::chrono::seconds(2);
    /// The longest that the network can hold back bytes of a process that has
    /// ended, or of a connection that was closed, before an engine's report
    /// can be believed to show all of them.
    duration settle_time = std::chrono::seconds(2);
    /// Resumes in a row without one new event; also how often a request may
    /// start afresh.
    int max_resumes = 4;
    /// How long a failed load of an adapter keeps it from being tried again,
    /// and how long a worker that cannot be reached is left alone.
    duration load_backoff = std::chrono::seconds(1);
    /// How long a request waits for a slot before one of the adapters that are
    /// always busy has to give way.
    duration starvation_timeout = std::chrono::seconds(2);
};

/// What an owner knows of a worker when it takes it.
struct ownership_grant
{
    fencing_number fence;
    /// Whether an earlier owner may still send to the worker. Until
    /// suspects_stopped() everything resident stays pinned.
    bool has_suspects = false;
    /// Unload orders that an earlier owner recorded and may yet send: nothing
    /// is routed to these names until that is ruled out.
    std::vector<engine_name> open_intents;
};

} // namespace mulberry

#endif
