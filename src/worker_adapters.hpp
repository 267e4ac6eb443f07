/// State of one worker's adapters and base models, and the load and unload
/// orders that change them, as seen by the VM that holds the worker's lease.
#ifndef MULBERRY_WORKER_ADAPTERS_HPP
#define MULBERRY_WORKER_ADAPTERS_HPP

#include "ids.hpp"
#include "relay_request.hpp"
#include "routing_config.hpp"
#include "time_point.hpp"
#include "unanswered_orders.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mulberry
{

struct worker_adapters_settings
{
    std::size_t adapter_slots = 1;
    /// Memory of the worker that weights and adapters share; 0 if unknown.
    double weight_memory_mb = 0;
    std::vector<base_model> models;
    /// Limit on concurrent adapter loads at a worker; the worker refuses more.
    std::size_t max_concurrent_loads = 4;
    /// Expected time of a load from the weight store.
    duration cold_load_time = std::chrono::milliseconds(250);
    /// Expected time of a load from the copy that the worker keeps of an
    /// adapter it held recently: a tenth of a cold load.
    duration warm_load_time = std::chrono::milliseconds(25);
    /// Interval at which a load or unload in progress is polled.
    duration poll_interval = std::chrono::milliseconds(25);
    /// Minimum time between losing track of the worker's state and reading its
    /// report: reports lag by some hundred milliseconds.
    duration resync_delay = std::chrono::milliseconds(400);
    /// Pause after an order that conflicted. A request that ended at this VM
    /// may run at the worker for a moment longer and keeps its adapter in use.
    duration conflict_backoff = std::chrono::milliseconds(15);
};

enum class adapter_stage
{
    /// A load is requested but not ordered yet.
    requested,
    loading,
    resident,
    /// An unload is ordered; the slot is free once the requests that use the
    /// adapter have ended.
    unloading
};

/// What an order's answer may well say. Value.
struct order_expectation
{
    /// Empty: it cannot be told.
    std::set<order_outcome> possible = {};
    /// Changes nothing that is known of the worker; nullopt: no outcome.
    std::optional<order_outcome> without_news = {};
    friend bool operator==(order_expectation const&,
                           order_expectation const&) = default;
};

/// Sends one order at a time. Each order carries the number of orders that the
/// worker must have accepted before it (the expected sequence). Failure: an
/// order whose answer is lost is carried out seconds later, when its slot has
/// been given to another adapter; the worker then holds one adapter too many
/// and crashes. With the expected sequence, the worker refuses the late order
/// as soon as it has accepted a later one. An unanswered order is sent again
/// unchanged until it has an answer, so that a later order is always accepted.
/// A worker that restarts counts from zero, so slots are kept free for loads
/// that were not answered before; see unanswered_orders.hpp.
///
/// Thread safety: none. Pure: no I/O, no clock.
class worker_adapters
{
public:
    /// Retention priority of an adapter: the lowest is evicted first.
    using score = std::function<double(model_target const&)>;

    /// `earlier`: the orders that the worker's earlier incarnations left
    /// unanswered.
    explicit worker_adapters(worker_adapters_settings settings,
                             unanswered_orders earlier = unanswered_orders());
    /// Replaces the settings. If the worker holds more adapters than it has
    /// slots from now on, those that no request uses are unloaded.
    void configure(worker_adapters_settings settings)
    {
        settings_ = std::move(settings);
    }
    /// Returns the unanswered orders, for the next incarnation. This object is
    /// not to be used afterwards.
    unanswered_orders take_unanswered() { return std::move(unanswered_); }

    /// Allows orders from `orders_from` on, under fencing token `fence`.
    /// `orders_from` is `never` while the holder's lease has lapsed and no
    /// other VM holds the worker. A new token makes the worker's state unknown
    /// until the next report. `knows_unanswered`: whether this object has all
    /// orders that the worker's earlier incarnations left unanswered.
    void on_ownership_acquired(vm_id holder, fencing_number fence,
                               time_point orders_from,
                               bool knows_unanswered = true);
    /// Forbids further orders and forgets adapters whose load or unload is not
    /// complete. Resident adapters may still be used.
    void on_ownership_lost();
    bool is_owned() const { return holder_.has_value(); }
    bool may_order(time_point now) const
    {
        return holder_ && now >= orders_from_;
    }

    /// Whether the worker's report has to be requested because its state is
    /// unknown, or because unanswered orders may change it.
    bool needs_report(time_point now) const;
    void on_report_requested() { report_requested_ = true; }
    void on_report(std::optional<worker_report> const& report, time_point now);
    bool synced() const { return sequence_.has_value(); }
    /// Whether no load can be ordered before an event at the worker: its state
    /// is unknown, or an unload waits for requests to end.
    bool is_blocked() const { return !sequence_ || unload_in_progress(); }
    /// Whether a report was accepted under the current ownership. What the
    /// worker holds may then be used, also while orders wait for another
    /// report.
    bool is_state_known() const { return state_known_; }

    bool has_model(base_model_id const& model) const;
    /// Whether the weights fit beside those that the worker holds.
    bool fits_model(base_model_id const& model) const;
    /// Number of adapters that fit beside the weights that the worker holds.
    std::size_t slot_count() const;
    /// Requests a load of a base model. Precondition: the worker holds no
    /// model, and fits_model().
    void request_model(base_model_id const& model) { requested_model_ = model; }
    bool holds_any_model() const { return !models_.empty(); }
    bool is_model_requested() const
    {
        return requested_model_ || loading_model_;
    }
    std::vector<base_model_id> models() const;

    std::optional<adapter_stage> stage(model_target const& target) const;
    adapter_version version(model_target const& target) const;
    /// Whether a load of the adapter could begin now or after an eviction: the
    /// worker is in sync, holds the base model, and has a free slot or an idle
    /// adapter. Also true for an adapter that is known here, unless its copy is
    /// outdated and in use.
    bool can_load(model_target const& target) const;
    /// Whether the worker held the adapter recently. The worker then keeps a
    /// copy, which loads in a tenth of the time and without the weight store.
    bool was_recently_resident(model_target const& target) const;
    /// Records that the worker holds the adapter, whichever VM ordered its
    /// load.
    void record_resident(model_target const& target);
    /// Whether an adapter that is not at the worker could be loaded now, if
    /// need be after an eviction.
    bool has_available_slot() const;
    /// Slots that are kept free for loads without an answer.
    std::size_t reserved_slots() const { return reserved_slots_; }
    /// Expected duration of a load of the adapter.
    duration load_time(model_target const& target) const
    {
        return was_recently_resident(target) ? settings_.warm_load_time
                                             : fetch_time_;
    }
    /// Whether recent fetches took much longer than one that runs alone: more
    /// run over all workers than the weight store sends at full speed.
    bool are_fetches_slow(time_point now) const
    {
        return now < fetches_slow_until();
    }
    /// When are_fetches_slow() ends unless further fetches end before; in the
    /// past if they are not slow.
    time_point fetches_slow_until() const;
    /// Requests a load of the adapter in version `newest`, the last declared
    /// one; 0 stands for whichever is newest. No effect if the adapter is known
    /// here already. Precondition: can_load().
    void request_load(model_target const& target, adapter_version newest,
                      time_point now);
    /// Counts requests in progress that use the adapter. An adapter in use is
    /// not evicted.
    void begin_use(model_target const& target);
    void end_use(model_target const& target, time_point now);
    /// Counts requests that wait here for the adapter. It is not evicted while
    /// a request waits, unless its copy is outdated.
    void begin_wait(model_target const& target);
    void end_wait(model_target const& target);
    /// Loads that have a deadline are ordered before those without one, the
    /// earliest first: forgets all deadlines, and tells that a waiting request
    /// needs the adapter until then.
    void clear_load_deadlines();
    void add_load_deadline(model_target const& target, time_point deadline);
    /// Handles an answer by which the worker does not hold the adapter: the
    /// worker's state is unknown until its next report.
    void on_adapter_missing(model_target const& target, time_point now);
    /// Records that version `newest` exists. An older copy is evicted as soon
    /// as it is idle.
    void mark_outdated(model_target const& target, adapter_version newest);
    bool outdated(model_target const& target) const;
    /// Expected completion of the load; `never` unless a load is requested or
    /// in progress.
    time_point load_expected_at(model_target const& target) const;

    /// Returns the next order if one is due and no order is in flight.
    /// `retention_priority` ranks idle adapters for eviction. Precondition:
    /// may_order(now).
    std::optional<worker_order> next_order(worker_id const& worker,
                                           score const& retention_priority,
                                           time_point now);
    /// Of the order in flight. Precondition: order_in_flight().
    order_expectation expectation() const;
    /// Handles the outcome of the order in flight. Returns whether the known
    /// state of the worker changed: false for a poll of an order in progress
    /// and for an order without effect.
    bool on_outcome(order_outcome outcome, time_point now);
    bool order_in_flight() const { return in_flight_; }
    /// Whether this order is in flight.
    bool awaits_outcome(worker_order const& order) const
    {
        return in_flight_ && order_ == order;
    }
    /// Whether the last orders in a row had no answer. The worker is dark or
    /// unreachable, and loads nothing until it answers an order.
    bool is_unresponsive() const;
    /// The next time at which next_order() may return an order or a report may
    /// be needed; `never` if only an event can change that.
    time_point next_due() const;

    std::size_t evictions() const { return evictions_; }
    std::size_t cold_loads() const { return cold_loads_; }
    std::size_t warm_loads() const { return warm_loads_; }

private:
    struct entry
    {
        adapter_stage stage = adapter_stage::requested;
        adapter_version version;
        /// The newest declared version.
        adapter_version newest;
        /// Value of `newest` when the load was ordered: a load fetches the
        /// version that is newest at that time.
        adapter_version ordered_version;
        std::size_t requests_in_progress = 0;
        std::size_t requests_waiting = 0;
        time_point requested_at{};
        /// The earliest of the waiting requests' deadlines, and their number;
        /// `never` and 0 if there is none.
        time_point deadline = never;
        std::size_t deadlines = 0;
        time_point ordered_at{};
        /// Whether the load is taken to come from the weight store.
        bool cold = false;
        time_point poll_at = never;
        time_point load_expected_at = never;
        /// The adapter is not unloaded before this time: the worker may still
        /// be finishing a request, or has just refused an unload.
        time_point unload_not_before{};
        /// Until then a request that this VM does not know of may use the
        /// adapter: it was at the worker before this VM owned it.
        time_point unknown_use_until{};
    };

    bool stale(entry const& which) const
    {
        return which.newest > which.version;
    }
    std::size_t occupied_slots() const;
    double free_weight_memory() const;
    /// Updates reserved_slots_ for the state after the next order.
    void update_reserved_slots(time_point now);
    /// Slots that are kept free for orders that another VM left unanswered.
    std::size_t unknown_order_slots() const;
    /// Whether unanswered loads still fit after an order that leaves
    /// `occupied` slots occupied.
    bool fits_unanswered_loads(std::size_t occupied, time_point now) const;
    /// Whether unanswered loads may change what the worker holds.
    bool may_change_unseen(time_point now) const;
    worker_order send(worker_order const& order, time_point now);
    /// The deadline by which loads are ranked: earlier for each further
    /// request; `never` without one.
    static time_point ranked_deadline(entry const& which);
    std::size_t loads_in_progress() const;
    std::size_t max_loads_in_progress() const;
    bool unload_in_progress() const;
    std::optional<worker_order> poll_order(time_point now);
    std::optional<worker_order> model_order(time_point now) const;
    std::optional<worker_order> load_order(time_point now) const;
    std::optional<worker_order> evict_order(score const& retention_priority,
                                            time_point now);
    worker_order make_order(order_kind kind, model_target target) const;
    /// on_accepted(), on_unload_begun() and on_model_load_begun() return false
    /// if the order was accepted earlier and this was a poll.
    bool on_accepted(worker_order const& order, time_point now);
    bool on_unload_begun(worker_order const& order, time_point now);
    bool on_model_load_begun(worker_order const& order, time_point now);
    void on_already_applied(worker_order const& order, time_point now);
    void record_fetch_time(entry const& state, time_point now);
    void on_conflict(worker_order const& order, time_point now);
    void mark_out_of_sync(time_point now);
    bool predates_last_order(worker_report const& report, time_point now) const;

    worker_adapters_settings settings_;
    std::optional<vm_id> holder_;
    fencing_number fence_;
    time_point orders_from_ = never;
    std::optional<std::uint64_t> sequence_;
    /// The sequence when track of the worker's state was lost, and the time of
    /// the loss.
    std::optional<std::uint64_t> lost_sequence_;
    time_point lost_at_{};
    time_point report_from_{};
    bool report_requested_ = false;
    bool state_known_ = false;
    std::map<base_model_id, bool> models_;
    std::optional<base_model_id> requested_model_;
    std::optional<base_model_id> loading_model_;
    time_point model_poll_at_ = never;
    std::map<model_target, entry> adapters_;
    /// Moving average of the time that fetches from the weight store take.
    duration fetch_time_;
    /// When the last fetch ended.
    time_point fetched_at_{};
    /// Adapters that were loaded here, least recent first; as many as the
    /// worker is assumed to keep copies of.
    std::list<model_target> recently_resident_;
    unanswered_orders unanswered_;
    /// Orders that another VM left unanswered may be carried out.
    bool has_unknown_orders_ = false;
    /// Until then slots are kept free for them; counted from the next report.
    time_point unknown_orders_until_{};
    std::size_t reserved_slots_ = 0;
    std::optional<worker_order> order_;
    /// The order was sent and has no outcome yet.
    bool in_flight_ = false;
    bool order_repeated_ = false;
    /// An answer to the order may have been one to an earlier order.
    bool order_undecided_ = false;
    /// Orders in a row without an answer.
    int consecutive_unanswered_ = 0;
    int consecutive_conflicts_ = 0;
    time_point retry_at_{};
    worker_id worker_;
    std::size_t evictions_ = 0;
    std::size_t cold_loads_ = 0;
    std::size_t warm_loads_ = 0;
};

} // namespace mulberry

#endif
