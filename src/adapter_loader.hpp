/// Plans a worker's load and unload orders: which adapter is loaded next, which
/// one is evicted for it, and how unanswered orders are resolved.
#ifndef MULBERRY_ADAPTER_LOADER_HPP
#define MULBERRY_ADAPTER_LOADER_HPP

#include "action.hpp"
#include "adapter_slots.hpp"
#include "attempt_event.hpp"
#include "cluster_view.hpp"
#include "declaration.hpp"
#include "dispatch_meter.hpp"
#include "dispatcher_limits.hpp"
#include "load_budget.hpp"
#include "request_queue.hpp"
#include "routing_policy.hpp"

#include <map>
#include <optional>
#include <vector>

namespace mulberry
{

/// What an event changed for queued requests.
struct load_changes
{
    /// Adapters that could not be loaded and are not retried for a while.
    std::vector<adapter_ref> failed;
    /// An order was refused because the worker has a later owner.
    bool old_fence = false;
};

/// The inputs of a decision about loads.
struct load_context
{
    request_queue const& queue;
    /// Its residents are left empty.
    worker_view worker;
    /// May be null.
    cluster_view const* cluster;
    time_point now;
};

/// Decides on loads and evictions and tracks the orders for them.
/// Thread safety: none; owned by the worker's dispatcher.
class adapter_loader
{
public:
    /// Precondition: `policy`, `budget`, `checks`, `ids` and `meter` outlive
    /// this object.
    adapter_loader(worker_declaration const& worker,
                   ownership_grant const& grant,
                   dispatcher_limits const& limits, routing_policy& policy,
                   load_budget& budget, safeguards const& checks,
                   id_source& ids, dispatch_meter& meter, time_point now);

    adapter_slots& slots() { return slots_; }
    adapter_slots const& slots() const { return slots_; }
    /// The number of orders and intents without an answer.
    std::size_t orders() const { return orders_.size(); }
    bool knows(order_id order) const { return orders_.contains(order); }

    /// The engine name to send requests for `adapter` under; null while the
    /// adapter is not ready or is being drained.
    engine_name const* sendable(adapter_ref const& adapter) const;
    /// The Retry-After for a request whose adapter cannot be loaded for now;
    /// none if the request may wait here.
    std::optional<duration> load_retry_after(adapter_ref const& adapter,
                                             time_point now) const;
    /// Whether no slot is free or about to be while evictions are not allowed,
    /// so that nothing can be loaded.
    bool loads_blocked() const;
    std::vector<resident_view> residents(request_queue const& queue,
                                         time_point now) const;
    /// See worker_dispatcher::loads_wanted.
    std::size_t loads_wanted(request_queue const& queue) const;

    load_changes on_order(order_result const& event, time_point now,
                          action_list& actions);
    void on_intent(order_id order, bool recorded, request_queue const& queue,
                   time_point now, action_list& actions);
    void on_report(engine_report const& report, time_point now,
                   action_list& actions);
    /// Resolves orders and intents that were not answered in time.
    load_changes tick(time_point now, action_list& actions);
    /// Starts the loads and evictions that queued requests need, then preloads
    /// if none is needed.
    void plan(load_context const& context, action_list& actions);
    /// Allows or forbids new evictions; initially allowed.
    void set_may_evict(bool may);
    /// No orders are sent from now on.
    void stop() { stopped_ = true; }

private:
    struct order
    {
        engine_name name;
        time_point deadline;
        /// For the eviction of a drained adapter: the adapter that is to be
        /// loaded in its slot.
        std::optional<adapter_ref> makes_room_for;
    };

    /// Whether the adapter is neither loaded nor loading and may be loaded now.
    bool needs_load(adapter_ref const& adapter, time_point now) const;
    /// The number of queued requests that would be sent under `name`.
    std::size_t queued_under(engine_name const& name,
                             loaded_adapter const& item,
                             request_queue const& queue) const;
    std::size_t unloads_in_progress() const;
    worker_view view_with_residents(load_context const& context) const;
    /// Returns false if the load budget has no permit.
    bool start_load(adapter_ref const& adapter, time_point now,
                    action_list& actions);
    std::optional<engine_name>
    choose_victim(adapter_ref const& incoming, load_context const& context,
                  std::vector<engine_name> const& names) const;
    /// The engine names that may be evicted now.
    std::vector<engine_name> evictable(load_context const& context) const;
    /// Starts an eviction by recording its intent in the table.
    void evict(engine_name const& name,
               std::optional<adapter_ref> make_room_for, time_point now,
               action_list& actions);
    /// Whether requests wait for the adapter that is being evicted, unless it
    /// was drained for another one that is still needed.
    bool should_cancel_eviction(order const& eviction,
                                request_queue const& queue) const;
    void cancel_eviction(engine_name const& name, time_point now,
                         action_list& actions);
    /// Cancels evictions whose intent was not recorded in time.
    void expire_intents(time_point now, action_list& actions);
    void send_unload(engine_name const& name, time_point now,
                     action_list& actions);
    /// Evicts an adapter for `incoming`, or starts to drain one if all are
    /// busy.
    void make_room(adapter_ref const& incoming, load_context const& context,
                   action_list& actions);
    void choose_adapter_to_drain(adapter_ref const& incoming,
                                 load_context const& context);
    void load_for_queue(load_context const& context, action_list& actions);
    void preload(load_context const& context, action_list& actions);
    void on_load_result(engine_name const& name, order_result const& event,
                        time_point now, load_changes& changes,
                        action_list& actions);
    void on_unload_result(engine_name const& name, order_result const& event,
                          time_point now, load_changes& changes,
                          action_list& actions);
    void add_event(action_list& actions, char const* kind,
                   engine_name const& name) const;

    worker_id worker_;
    fencing_number fence_;
    dispatcher_limits limits_;
    routing_policy* policy_;
    load_budget* budget_;
    id_source* ids_;
    dispatch_meter* meter_;
    adapter_slots slots_;
    std::map<order_id, order> orders_;
    /// The earliest time to retry the load of an adapter whose load failed.
    std::map<adapter_ref, time_point> load_not_before_;
    /// No eviction for queued requests begins earlier; set after a failed one.
    time_point evict_not_before_ = time_point::min();
    /// A busy adapter that is sent no more requests, so that it can be evicted
    /// for an adapter whose requests have waited for starvation_timeout.
    std::optional<engine_name> draining_adapter_;
    bool may_evict_ = true;
    bool stopped_ = false;
};

} // namespace mulberry

#endif
