/// Dispatches requests to one worker on behalf of its owner: request queue,
/// batch slots, adapter slots and eviction, load and unload orders, and answer
/// streams. Performs no I/O, reads no clock and starts no threads.
#ifndef MULBERRY_WORKER_DISPATCHER_HPP
#define MULBERRY_WORKER_DISPATCHER_HPP

#include "action.hpp"
#include "attempt_event.hpp"
#include "cluster_view.hpp"
#include "declaration.hpp"
#include "dispatch_meter.hpp"
#include "dispatcher_limits.hpp"
#include "load_budget.hpp"
#include "model_request.hpp"
#include "routing_policy.hpp"
#include "safeguards.hpp"
#include "time_point.hpp"

#include <memory>

namespace mulberry
{

class dispatch_core;

/// Sends a worker's requests and its load and unload orders. Each call that
/// takes an action_list appends the actions that the caller must perform.
/// Thread safety: none; owned by the decision core.
class worker_dispatcher
{
public:
    /// Precondition: `policy`, `budget`, `checks` and `ids` outlive this
    /// object.
    worker_dispatcher(worker_declaration worker, ownership_grant const& grant,
                      dispatcher_limits const& limits, routing_policy& policy,
                      load_budget& budget, safeguards const& checks,
                      id_source& ids, time_point now);
    ~worker_dispatcher();
    worker_dispatcher(worker_dispatcher&&) noexcept;

    /// Admits a request, or answers it at once with an error marked ran::no:
    /// - overloaded: the queue is full, or the request's turn would come too
    ///   late for its deadline; Retry-After is computed from the queue length
    /// - deadline_passed: the deadline had passed on arrival
    /// - not_owner: after stop_admitting()
    /// - load_failed: its adapter cannot be loaded here for now
    /// - back_end_unavailable: the worker cannot be reached
    /// When the queue is full, a queued request of lower priority is displaced
    /// and answered overloaded. Precondition: !knows(request.id).
    void submit(model_request request, time_point now, action_list& actions);
    /// Handles a caller's disconnect: the request leaves the queue or is
    /// cancelled at the engine, and nothing more is delivered for it. Unknown
    /// requests are ignored.
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);

    /// Handle an attempt's or order's outcome; unknown ones are ignored.
    void on_chunk(attempt_chunk const& event, time_point now,
                  action_list& actions);
    void on_end(attempt_end const& event, time_point now, action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);
    void on_order(order_result const& event, time_point now,
                  action_list& actions);
    /// Handles the outcome of a record_intent action. The unload order is sent
    /// only if `recorded`.
    void on_intent(order_id order, bool recorded, time_point now,
                   action_list& actions);
    void on_report(engine_report const& report, time_point now,
                   action_list& actions);
    /// Records that no earlier owner (suspect) has sent anything to the worker
    /// since `stopped_at`. Adapters that earlier owners may have used stay
    /// pinned until a later report shows no request running under them, or
    /// until every request sent by then is past its deadline.
    void suspects_stopped(time_point stopped_at, time_point now);

    /// Stops admission, because ownership ends or this VM leaves: queued
    /// requests are answered not_owner (ran::no), requests already sent run to
    /// their end, and no further orders are sent.
    void stop_admitting(time_point now, action_list& actions);
    /// The number of requests queued or sent.
    std::size_t in_progress() const;
    /// The number of loads, unloads and intents without an answer. The
    /// dispatcher must not be destroyed before this is 0: each load holds a
    /// permit of the load budget, which would never be returned.
    std::size_t orders_in_progress() const;
    /// Whether a request whose connection was given up here may still run at
    /// the engine. A former owner must not confirm that it stopped while this
    /// is true: its successor takes the confirmation to mean that none of the
    /// former owner's requests are left.
    bool has_abandoned_requests(time_point now) const;
    /// Handles everything that depends on time: request and order deadlines,
    /// silent streams, loads, evictions and preloading.
    void tick(time_point now, action_list& actions);

    /// Allows or forbids new evictions; initially allowed. Evictions are
    /// forbidden while the table cannot be reached: their intents could not be
    /// recorded, and requests for a loaded adapter would wait meanwhile.
    /// While evictions are forbidden, requests whose adapter has no slot are
    /// answered load_failed.
    void set_may_evict(bool may);
    /// Sets the view that preloading is based on. Null turns preloading off;
    /// otherwise `cluster` must outlive this object or be replaced before.
    void set_cluster(cluster_view const* cluster);
    /// The worker's state for routing; owner and cached prefixes are left
    /// empty.
    worker_view view(time_point now) const;
    /// The number of adapters that queued requests need and that are neither
    /// loaded nor loading, for load_budget::set_waiting.
    std::size_t loads_wanted() const;
    dispatch_counts counts(time_point now) const;
    /// Returns the usage by application since the last call and resets it.
    usage_by_application take_usage(time_point now);
    /// Whether the attempt, order or request is in progress here.
    bool knows(attempt_id attempt) const;
    bool knows(order_id order) const;
    bool knows(request_id const& request) const;

private:
    std::unique_ptr<dispatch_core> core_;
};

} // namespace mulberry

#endif
