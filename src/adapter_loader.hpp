/// Load and unload orders of one worker: what is loaded next, what makes room
/// for it, and what an order without an answer means.
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

/// What an event changed for the requests that wait.
struct load_changes
{
    /// Not loaded, and not tried again for a while.
    std::vector<adapter_ref> failed;
    /// An order was refused because a later owner exists.
    bool old_fence = false;
};

/// What a decision about loads rests on.
struct load_context
{
    request_queue const& queue;
    /// Without its residents.
    worker_view worker;
    /// May be null.
    cluster_view const* cluster;
    time_point now;
};

/// Thread safety: none; owned by the worker's dispatcher.
class adapter_loader
{
public:
    /// The references outlive this object.
    adapter_loader(worker_declaration const& worker,
                   ownership_grant const& grant,
                   dispatcher_limits const& limits, routing_policy& policy,
                   load_budget& budget, safeguards const& checks,
                   id_source& ids, dispatch_meter& meter, time_point now);

    adapter_slots& slots() { return slots_; }
    adapter_slots const& slots() const { return slots_; }
    /// Orders and intents without an answer.
    std::size_t orders() const { return orders_.size(); }
    bool knows(order_id order) const { return orders_.contains(order); }

    /// The name to send under; none while the adapter is not ready or gives
    /// way to another.
    engine_name const* sendable(adapter_ref const& adapter) const;
    /// How long a request for the adapter had better not come back here; none
    /// when it may wait here.
    std::optional<duration> load_retry_after(adapter_ref const& adapter,
                                             time_point now) const;
    /// Whether nothing can be loaded for want of a slot until evictions may
    /// begin again.
    bool loads_blocked() const;
    std::vector<resident_view> residents(request_queue const& queue,
                                         time_point now) const;
    std::size_t loads_wanted(request_queue const& queue) const;

    load_changes on_order(order_result const& event, time_point now,
                          action_list& actions);
    void on_intent(order_id order, bool recorded, request_queue const& queue,
                   time_point now, action_list& actions);
    void on_report(engine_report const& report, time_point now,
                   action_list& actions);
    /// Orders and intents that were never answered.
    load_changes tick(time_point now, action_list& actions);
    /// Starts what loads and unloads are due.
    void plan(load_context const& context, action_list& actions);
    /// Whether evictions may begin; at first they may.
    void set_may_evict(bool may);
    /// No order is given from now on.
    void stop() { stopped_ = true; }

private:
    struct order
    {
        engine_name name;
        time_point deadline;
        /// Of an eviction of a busy adapter: who it makes room for.
        std::optional<adapter_ref> makes_room_for;
    };

    bool needs_load(adapter_ref const& adapter, time_point now) const;
    std::size_t queued_under(engine_name const& name,
                             loaded_adapter const& item,
                             request_queue const& queue) const;
    std::size_t unloads_in_progress() const;
    worker_view view_with_residents(load_context const& context) const;
    bool start_load(adapter_ref const& adapter, time_point now,
                    action_list& actions);
    std::optional<engine_name>
    choose_victim(adapter_ref const& incoming, load_context const& context,
                  std::vector<engine_name> const& names) const;
    std::vector<engine_name> evictable(load_context const& context) const;
    void evict(engine_name const& name,
               std::optional<adapter_ref> make_room_for, time_point now,
               action_list& actions);
    bool should_cancel_eviction(order const& eviction,
                                request_queue const& queue) const;
    void cancel_eviction(engine_name const& name, time_point now,
                         action_list& actions);
    void expire_intents(time_point now, action_list& actions);
    void send_unload(engine_name const& name, time_point now,
                     action_list& actions);
    void make_room(adapter_ref const& incoming, load_context const& context,
                   action_list& actions);
    void choose_draining(adapter_ref const& incoming,
                         load_context const& context);
    void load_for_queue(load_context const& context, action_list& actions);
    void preload(load_context const& context, action_list& actions);
    void on_load_result(engine_name const& name, order_result const& event,
                        time_point now, load_changes& changes,
                        action_list& actions);
    void on_unload_result(engine_name const& name, order_result const& event,
                          time_point now, load_changes& changes,
                          action_list& actions);
    void note(action_list& actions, char const* kind,
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
    /// Until when an adapter whose load failed is not tried again.
    std::map<adapter_ref, time_point> load_not_before_;
    /// Evictions wait until then, after an intent could not be recorded.
    time_point evict_not_before_ = time_point::min();
    /// A busy adapter that is sent no more requests, to make room for one that
    /// waited too long.
    std::optional<engine_name> draining_;
    bool may_evict_ = true;
    bool stopped_ = false;
};

} // namespace mulberry

#endif
