/// The owner's side of one worker: queue, batch room, adapter slots, pins,
/// orders, and the streams of its requests. Pure: no I/O, clock or threads.
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

/// Thread safety: none; owned by the decision core. Every call appends the
/// actions that follow from it.
class worker_dispatcher
{
public:
    /// The references outlive this object.
    worker_dispatcher(worker_declaration worker, ownership_grant const& grant,
                      dispatcher_limits const& limits, routing_policy& policy,
                      load_budget& budget, safeguards const& checks,
                      id_source& ids, time_point now);
    ~worker_dispatcher();
    worker_dispatcher(worker_dispatcher&&) noexcept;

    /// Takes a request, or answers it at once with an error that says "not
    /// run": overloaded (with a Retry-After from the actual queue),
    /// deadline_passed, not_owner after stop_admitting(), load_failed while
    /// its adapter cannot be loaded here, back_end_unavailable while the
    /// worker cannot be reached. When the queue is full it may displace a
    /// request of less priority, which is answered overloaded.
    /// Precondition: not knows(request.id).
    void submit(model_request request, time_point now, action_list& actions);
    /// The caller went away: nothing more is delivered for the request.
    void withdraw(request_id const& request, time_point now,
                  action_list& actions);

    void on_chunk(attempt_chunk const& event, time_point now,
                  action_list& actions);
    void on_end(attempt_end const& event, time_point now, action_list& actions);
    void on_failure(attempt_failure const& event, time_point now,
                    action_list& actions);
    void on_order(order_result const& event, time_point now,
                  action_list& actions);
    /// The outcome of a record_intent. Not recorded: the order is not sent.
    void on_intent(order_id order, bool recorded, time_point now,
                   action_list& actions);
    void on_report(engine_report const& report, time_point now,
                   action_list& actions);
    /// At `stopped_at` every earlier owner was known to send no more. Pins
    /// last until a report of a later moment shows nothing of theirs running,
    /// or until all they can have sent is past its deadline.
    void suspects_stopped(time_point stopped_at, time_point now);

    /// Ownership ends or this VM leaves: what waits is answered not_owner (not
    /// run), what was sent goes on to its end, no order is given any more.
    void stop_admitting(time_point now, action_list& actions);
    /// Requests waiting or sent.
    std::size_t in_progress() const;
    /// Loads, unloads and intents without an answer. A load holds a permit of
    /// the budget: destroyed before this is 0, it would never give it back.
    std::size_t orders_in_progress() const;
    /// Whether a request that was given up here may still run at the engine.
    /// An owner that gave the worker up signs off only after that: its
    /// successor takes the signature to mean that nothing of it is left.
    bool has_abandoned_requests(time_point now) const;
    /// Deadlines, silences, loads, evictions, loads ahead.
    void tick(time_point now, action_list& actions);

    /// Whether evictions may begin. While the table is out of reach they may
    /// not: their intents could not be recorded, and until they are, requests
    /// for an adapter that is to go wait although it is loaded. Meanwhile a
    /// request for whose adapter there is no slot is answered load_failed.
    void set_may_evict(bool may);
    /// `cluster` is used for loads ahead; may be null.
    void set_cluster(cluster_view const* cluster);
    /// Its owner and cached prefixes are left empty.
    worker_view view(time_point now) const;
    /// How many adapters are waited for and not loaded or loading, for
    /// load_budget::set_waiting.
    std::size_t loads_wanted() const;
    dispatch_counts counts(time_point now) const;
    /// What each application used since the last call.
    usage_by_application take_usage(time_point now);
    /// Whether an attempt or order is this dispatcher's.
    bool knows(attempt_id attempt) const;
    bool knows(order_id order) const;
    bool knows(request_id const& request) const;

private:
    std::unique_ptr<dispatch_core> core_;
};

} // namespace mulberry

#endif
