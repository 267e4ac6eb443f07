/// Tracks an engine's adapter slots as the worker's owner knows them: from its
/// own orders, corrected by the engine's load reports, which arrive late.
#ifndef MULBERRY_ADAPTER_SLOTS_HPP
#define MULBERRY_ADAPTER_SLOTS_HPP

#include "attempt_event.hpp"
#include "cluster_view.hpp"
#include "declaration.hpp"
#include "dispatcher_limits.hpp"
#include "ids.hpp"
#include "safeguards.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberry
{

enum class slot_state
{
    loading,
    /// The load order was not answered: it may have taken effect already or
    /// may do so later.
    load_unknown,
    ready,
    /// The intent to unload is being written to the table.
    recording,
    unloading,
    /// The unload order was not answered: it may take effect at any time.
    unload_unknown,
    /// Takes a slot, but no request may be routed to it: an earlier owner may
    /// still unload it, a later owner loaded it, or its name cannot be parsed.
    unusable
};

/// An engine name that takes a slot, or that may not be used again yet.
struct loaded_adapter
{
    adapter_ref adapter;
    fencing_number fence;
    slot_state state = slot_state::ready;
    /// The order or intent in progress, if any.
    order_id order;
    /// When the state was entered. Reports of earlier moments are ignored for
    /// this name.
    time_point since{};
    time_point last_used{};
    /// Not evicted earlier, because an eviction of the adapter was cancelled.
    time_point evictable_from = time_point::min();
    /// Reports show that the slot is free, but the name may not be used yet.
    bool slot_free = false;
};

/// What a report changed.
struct slot_changes
{
    /// Names that are not loaded and that no order can unload any more, so that
    /// their intents are over.
    std::vector<engine_name> closed_intents;
    /// Names for which an earlier owner recorded an intent but whose unload
    /// order did not take effect and no longer can: the names are used again
    /// and the intents are over.
    std::vector<engine_name> usable_again;
    /// Names that are still loaded because their unload order was lost.
    std::vector<engine_name> still_loaded;
};

/// The engine names in a worker's adapter slots, their states and requests.
/// Thread safety: none; owned by the worker's dispatcher.
class adapter_slots
{
public:
    using map_type = std::map<engine_name, loaded_adapter>;

    /// Preconditions: `checks` outlives this object; the row that `grant` was
    /// made from was read before `now`.
    adapter_slots(std::size_t slots, ownership_grant const& grant,
                  dispatcher_limits const& limits, safeguards const& checks,
                  time_point now);

    /// Whether a report has shown the contents of the slots.
    bool contents_known() const { return contents_known_; }
    /// Marks the contents as unknown until a report of a moment after `now`
    /// arrives.
    void invalidate(time_point now);
    std::size_t free_slots() const;
    map_type const& all() const { return adapters_; }
    loaded_adapter const* find(engine_name const& name) const;
    /// The ready engine name for an adapter; null if there is none.
    engine_name const* ready_name(adapter_ref const& adapter) const;
    /// The name that this owner loads the adapter under.
    engine_name own_name(adapter_ref const& adapter) const;
    /// The state of own_name(adapter); null if that name is not in all().
    slot_state const* own_state(adapter_ref const& adapter) const;

    /// Adds the name for a load order and returns it.
    /// Precondition: own_name(adapter) is not in all().
    engine_name begin_load(adapter_ref const& adapter, order_id order,
                           time_point now);
    /// Precondition of set_state(), restore() and remove(): the name is in
    /// all().
    void set_state(engine_name const& name, slot_state state, order_id order,
                   time_point now);
    /// Handles a cancelled or failed eviction: the name becomes ready, or
    /// unusable if it is not routable(), and is not evicted for load_backoff.
    void restore(engine_name const& name, time_point now);
    /// Removes a name that is certainly not loaded at `now`.
    void remove(engine_name const& name, time_point now);

    /// Counts a request that was sent under a name.
    void add_request(engine_name const& name, time_point now);
    /// Removes a request that is over from the count. `end_confirmed` is false
    /// if the engine may still run the request; the name is pinned then.
    void end_request(engine_name const& name, bool end_confirmed,
                     time_point now);
    std::size_t requests(engine_name const& name) const;

    /// Whether only this owner can order the name to be unloaded.
    bool routable(engine_name const& name) const;
    /// Whether a request that this owner does not track may run under the name.
    bool pinned(engine_name const& name, time_point now) const;
    /// Whether a request that this owner gave up may still run; see
    /// worker_dispatcher.
    bool has_abandoned_requests(time_point now) const;
    /// Whether the adapter may be evicted; `queued` is the number of requests
    /// waiting to be sent under that name.
    bool may_evict(engine_name const& name, std::size_t queued,
                   time_point now) const;

    /// Updates the slots from a report. Reports older than the last one, or
    /// not newer than invalidate(), are ignored.
    slot_changes on_report(engine_report const& report, time_point now);
    /// See worker_dispatcher::suspects_stopped.
    void suspects_stopped(time_point stopped_at);
    /// The names that an earlier owner may still unload.
    std::set<engine_name> const& open_intents() const { return open_intents_; }

private:
    /// Protects a name from eviction because of requests that may have been
    /// sent until `since`.
    void pin(engine_name const& name, time_point since);
    void clear_pins(engine_report const& report,
                    std::map<engine_name, std::size_t> const& reported);
    /// Updates the index of ready names for one adapter.
    void update_ready_name(adapter_ref const& adapter);
    /// Updates a known name from a report; `running` is the number of requests
    /// that it shows under the name, null if it does not show the name.
    void reconcile(engine_name const& name, loaded_adapter& item,
                   std::size_t const* running, engine_report const& report,
                   time_point now, slot_changes& changes);
    /// Adds a name that a report shows and that was not known.
    void adopt(engine_name const& name, engine_report const& report,
               time_point now);
    /// Whether no unload order of an earlier owner can take effect after the
    /// moment of `report`.
    bool earlier_orders_settled(engine_report const& report) const;
    /// Closes intents of earlier owners that cannot take effect any more.
    void
    close_earlier_intents(engine_report const& report,
                          std::map<engine_name, std::size_t> const& reported,
                          time_point now, slot_changes& changes);

    std::size_t slots_;
    fencing_number fence_;
    dispatcher_limits limits_;
    safeguards const* checks_;
    /// Whether earlier owners might still send when this owner was granted the
    /// worker.
    bool had_suspects_;
    /// The time since which no earlier owner can send; none while one may.
    std::optional<time_point> suspects_stopped_;
    std::set<engine_name> open_intents_;
    map_type adapters_;
    std::map<adapter_ref, engine_name> ready_names_;
    std::map<engine_name, std::size_t> requests_;
    /// Pinned names: a request whose end this owner cannot observe may run
    /// under them, either an earlier owner's or one that this owner gave up.
    /// The value is the time after which no such request is sent; `never` while
    /// an earlier owner may still send. A pin stays while its name is not
    /// loaded, since such a request may arrive after the name is loaded again.
    std::map<engine_name, time_point> pins_;
    /// When names were removed. Reports of earlier moments still show them.
    std::map<engine_name, time_point> removed_;
    bool contents_known_ = false;
    time_point invalidated_at_ = time_point::min();
    time_point last_report_ = time_point::min();
};

} // namespace mulberry

#endif
