/// What an engine holds in its adapter slots, as the worker's owner knows it:
/// exactly what the owner did itself, corrected by the engine's late reports.
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
    /// The load order has no answer: it may have taken effect, or may yet.
    load_unknown,
    ready,
    /// The intent to unload is on its way to the table.
    recording,
    unloading,
    /// The unload order has no answer: it may take effect at any time.
    unload_unknown,
    /// Takes a slot, but nothing is routed to it: an earlier owner may yet
    /// unload it, a later owner loaded it, or the name is none of ours.
    unusable
};

/// One engine name that takes a slot, or that may not be used again yet.
struct loaded_adapter
{
    adapter_ref adapter;
    fencing_number fence;
    slot_state state = slot_state::ready;
    /// The order or intent in progress.
    order_id order;
    /// When the state was entered. A report of an earlier moment says nothing
    /// of it.
    time_point since{};
    time_point last_used{};
    /// Not evicted again before then: an eviction of it was given up.
    time_point evictable_from = time_point::min();
    /// Reports show it gone, only the name is still barred.
    bool slot_free = false;
};

/// What a report changed.
struct slot_changes
{
    std::vector<engine_name> closed_intents;
    /// Of earlier owners, whose unload orders were never carried out and cannot
    /// be any more: the names are used again and the intents are over.
    std::vector<engine_name> usable_again;
    /// Unload orders that were lost: the adapter is still there.
    std::vector<engine_name> still_loaded;
};

/// Thread safety: none; owned by the worker's dispatcher.
class adapter_slots
{
public:
    using map_type = std::map<engine_name, loaded_adapter>;

    /// `checks` outlives this object. The row of the grant was read before
    /// `now`.
    adapter_slots(std::size_t slots, ownership_grant const& grant,
                  dispatcher_limits const& limits, safeguards const& checks,
                  time_point now);

    /// Whether a report has shown what the slots hold.
    bool contents_known() const { return contents_known_; }
    /// The picture proved wrong: the next report newer than `now` is awaited.
    void invalidate(time_point now);
    std::size_t free_slots() const;
    map_type const& all() const { return adapters_; }
    loaded_adapter const* find(engine_name const& name) const;
    /// The name that requests for an adapter go to now, if one is ready.
    engine_name const* ready_name(adapter_ref const& adapter) const;
    engine_name own_name(adapter_ref const& adapter) const;
    /// Whether the adapter is being loaded or unloaded under its own name, or
    /// whether that name is barred.
    slot_state const* own_state(adapter_ref const& adapter) const;

    /// Precondition: the own name of `adapter` is not in all().
    engine_name begin_load(adapter_ref const& adapter, order_id order,
                           time_point now);
    /// Precondition for the following: the name is in all().
    void set_state(engine_name const& name, slot_state state, order_id order,
                   time_point now);
    /// It stays loaded after all: ready, or unusable if it was so before. It is
    /// not evicted for a while.
    void restore(engine_name const& name, time_point now);
    /// The name is certainly not loaded at `now`.
    void remove(engine_name const& name, time_point now);

    /// A request was sent under a name.
    void add_request(engine_name const& name, time_point now);
    /// It is over. `end_confirmed` is false when the engine may still run it.
    void end_request(engine_name const& name, bool end_confirmed,
                     time_point now);
    std::size_t requests(engine_name const& name) const;

    /// Whether nobody but this owner can order the name unloaded.
    bool routable(engine_name const& name) const;
    /// Whether a request that this owner cannot see may run under the name.
    bool pinned(engine_name const& name, time_point now) const;
    /// Whether a request that this owner gave up may still run.
    bool has_abandoned_requests(time_point now) const;
    /// Whether the adapter may leave its slot; `queued` are those waiting to be
    /// sent under that name.
    bool may_evict(engine_name const& name, std::size_t queued,
                   time_point now) const;

    /// Ignored when older than one taken before.
    slot_changes on_report(engine_report const& report, time_point now);
    void suspects_stopped(time_point stopped_at);
    /// The names that an earlier owner may yet unload.
    std::set<engine_name> const& open_intents() const { return open_intents_; }

private:
    void pin(engine_name const& name, time_point since);
    void clear_pins(engine_report const& report,
                    std::map<engine_name, std::size_t> const& shown);
    void update_ready_name(adapter_ref const& adapter);
    void reconcile(engine_name const& name, loaded_adapter& item,
                   std::size_t const* running, engine_report const& report,
                   time_point now, slot_changes& changes);
    void adopt(engine_name const& name, engine_report const& report,
               time_point now);
    bool earlier_orders_settled(engine_report const& report) const;
    void close_old_intents(engine_report const& report,
                           std::map<engine_name, std::size_t> const& shown,
                           time_point now, slot_changes& changes);

    std::size_t slots_;
    fencing_number fence_;
    dispatcher_limits limits_;
    safeguards const* checks_;
    bool suspects_;
    /// When no earlier owner could send any more; none while one may.
    std::optional<time_point> suspects_stopped_;
    std::set<engine_name> open_intents_;
    map_type adapters_;
    std::map<adapter_ref, engine_name> ready_names_;
    std::map<engine_name, std::size_t> requests_;
    /// Names under which a request may run that this owner cannot see the end
    /// of: an earlier owner's, or one of its own that was given up. With the
    /// moment after which no such request is sent any more; `never` while an
    /// earlier owner may still send. Kept also while the name is not loaded,
    /// since such a request may arrive after it is loaded again.
    std::map<engine_name, time_point> pins_;
    /// When names were last known to be gone: older reports still show them.
    std::map<engine_name, time_point> removed_;
    bool contents_known_ = false;
    time_point invalidated_at_ = time_point::min();
    time_point last_report_ = time_point::min();
};

} // namespace mulberry

#endif
