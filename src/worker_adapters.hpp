/// The adapters of one worker, and the orders that change them, as the one VM
/// that may give it orders sees them.
#ifndef MULBERRY_WORKER_ADAPTERS_HPP
#define MULBERRY_WORKER_ADAPTERS_HPP

#include "ids.hpp"
#include "relay_request.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace mulberry
{

struct worker_adapters_settings
{
    std::size_t adapter_slots = 1;
    /// The most adapters that may be on their way to a worker at a time; the
    /// worker refuses more.
    std::size_t max_coming = 4;
    /// A load of an adapter that the worker has not held lately.
    duration cold_load = std::chrono::milliseconds(250);
    /// A load of one that it has: a tenth of it.
    duration warm_load = std::chrono::milliseconds(25);
    /// Time between two questions whether a load is done.
    duration poll_interval = std::chrono::milliseconds(25);
    /// Once it is not known what the worker holds, before its report is
    /// believed: the report lags by up to some hundred milliseconds.
    duration resync_delay = std::chrono::milliseconds(400);
    /// After an order that conflicts, before the next. A request that ended
    /// here may run at the worker for a moment yet, and keeps its adapter.
    duration conflict_pause = std::chrono::milliseconds(15);
};

enum class adapter_stage
{
    /// Wanted, not ordered yet.
    wanted,
    loading,
    resident,
    /// Ordered away; its slot is free once the requests that use it are over.
    unloading
};

/// Orders go out one at a time, each under the number of orders that the
/// worker must have accepted before it. Failure: an order whose answer is lost
/// is carried out seconds later, when its slot has been given to another
/// adapter; the worker then holds one too many and crashes. With the expected
/// sequence the late order is refused as soon as any later one was accepted,
/// and the same order is sent again until it has an answer, so that one always
/// is. Thread safety: none. Pure: no I/O, no clock.
class worker_adapters
{
public:
    /// Higher for adapters that should stay.
    using score = std::function<double(model_target const&)>;

    explicit worker_adapters(worker_adapters_settings settings);

    /// Orders may be given from that moment on, under that token; `never`
    /// while the holder's lease has lapsed and nobody else has the worker.
    void grant(vm_id holder, fencing_number fence, time_point orders_from);
    /// No more orders; what is resident may still be used.
    void revoke();
    bool granted() const { return holder_.has_value(); }
    bool may_order(time_point now) const
    {
        return holder_ && now >= orders_from_;
    }

    /// Whether a report is wanted, since it is not known what the worker holds.
    bool wants_report(time_point now) const;
    void report_asked() { report_asked_ = true; }
    void on_report(std::optional<worker_report> const& report, time_point now);
    bool synced() const { return sequence_.has_value(); }
    /// What the worker holds was reported once under this grant. It may be
    /// used, also while orders have to wait for another report.
    bool known() const { return known_; }

    bool has_model(base_model_id const& model) const;
    /// Wants a model's weights. Precondition: the worker holds no model.
    void want_model(base_model_id const& model) { wanted_model_ = model; }
    bool holds_any_model() const { return !models_.empty(); }
    bool wants_model() const { return wanted_model_ || loading_model_; }
    std::vector<base_model_id> models() const;

    std::optional<adapter_stage> stage(model_target const& target) const;
    adapter_version version(model_target const& target) const;
    /// Whether a load of it could begin now or after evictions: a free slot or
    /// an idle adapter.
    bool can_take(model_target const& target) const;
    /// Held lately: the worker keeps a copy, which loads in a tenth of the time
    /// and without the weight store.
    bool was_here_lately(model_target const& target) const;
    /// The worker was seen to hold the adapter, whoever ordered it there.
    void remember(model_target const& target);
    /// Whether some adapter that is not there could be loaded now.
    bool has_room() const;
    /// How long a load of it takes, as far as is known.
    duration load_time(model_target const& target) const
    {
        return was_here_lately(target) ? settings_.warm_load : fetch_time_;
    }
    /// Wants the adapter loaded, in the version that was declared last (0 for
    /// whichever is newest). Precondition: can_take().
    void want(model_target const& target, adapter_version newest,
              time_point now);
    /// Requests in progress under the adapter.
    void begin_use(model_target const& target);
    void end_use(model_target const& target, time_point now);
    /// Requests that wait here for the adapter; it is not evicted meanwhile.
    void begin_wait(model_target const& target);
    void end_wait(model_target const& target);
    /// The worker said that it does not hold the adapter.
    void missing(model_target const& target, time_point now);
    /// A newer version exists. The copy is evicted as soon as it is idle.
    void outdate(model_target const& target, adapter_version newest);
    bool outdated(model_target const& target) const;
    /// When the load is expected to be done; `never` unless wanted or loading.
    time_point due(model_target const& target) const;

    /// The next order, if one is due and none is on its way. Precondition:
    /// may_order(now).
    std::optional<worker_order> next_order(worker_id const& worker,
                                           score const& keep, time_point now);
    /// Whether what is believed of the worker changed: false for an order that
    /// only asked how far another is, and for one without effect.
    bool on_outcome(order_outcome outcome, time_point now);
    bool order_in_flight() const { return in_flight_; }
    /// The order was sent and has no outcome yet.
    bool awaits(worker_order const& order) const
    {
        return in_flight_ && order_ == order;
    }
    /// The last orders all went without an answer: the worker is dark, or
    /// cannot be reached, and loads nothing until it answers one.
    bool leaves_orders_unanswered() const;
    /// The next moment at which next_order() may have something new.
    time_point next_due() const;

    std::size_t evictions() const { return evictions_; }
    std::size_t cold_loads() const { return cold_loads_; }
    std::size_t warm_loads() const { return warm_loads_; }

private:
    struct entry
    {
        adapter_stage stage = adapter_stage::wanted;
        adapter_version version;
        /// The newest version that was declared.
        adapter_version newest;
        /// What `newest` was when the load was ordered: a load fetches the
        /// newest version as of then.
        adapter_version ordered;
        std::size_t uses = 0;
        std::size_t waits = 0;
        time_point wanted_at{};
        time_point ordered_at{};
        /// Fetched from the weight store, as far as is known.
        bool cold = false;
        time_point check_at = never;
        time_point due = never;
        /// It is not unloaded before: the worker may still be at the end of a
        /// request, or would not unload it.
        time_point busy_until{};
    };

    bool stale(entry const& which) const
    {
        return which.newest > which.version;
    }
    std::size_t occupied() const;
    std::size_t coming() const;
    std::size_t coming_limit() const;
    bool waits_for_unload() const;
    std::optional<worker_order> poll_order(time_point now);
    std::optional<worker_order> model_order() const;
    std::optional<worker_order> load_order(time_point now) const;
    std::optional<worker_order> evict_order(score const& keep, time_point now);
    worker_order make(order_kind kind, model_target target) const;
    /// False when it was known before.
    bool accepted(worker_order const& order, time_point now);
    bool unload_begun(worker_order const& order, time_point now);
    bool model_load_begun(worker_order const& order, time_point now);
    void held(worker_order const& order, time_point now);
    void note_fetch(entry const& state, time_point now);
    void conflicted(worker_order const& order, time_point now);
    void lose_track(time_point now);
    bool too_old(worker_report const& report, time_point now) const;

    worker_adapters_settings settings_;
    std::optional<vm_id> holder_;
    fencing_number fence_;
    time_point orders_from_ = never;
    std::optional<std::uint64_t> sequence_;
    /// What it was when track of it was lost, and when that was.
    std::optional<std::uint64_t> lost_sequence_;
    time_point lost_at_{};
    time_point report_from_{};
    bool report_asked_ = false;
    bool known_ = false;
    std::map<base_model_id, bool> models_;
    std::optional<base_model_id> wanted_model_;
    std::optional<base_model_id> loading_model_;
    time_point model_check_at_ = never;
    std::map<model_target, entry> adapters_;
    /// How long fetches from the weight store have taken lately.
    duration fetch_time_;
    /// Least recently loaded first; the worker keeps copies of about as many.
    std::list<model_target> recent_;
    std::optional<worker_order> order_;
    /// The order was sent and may yet be answered.
    bool in_flight_ = false;
    bool repeated_ = false;
    /// Orders in a row that had no answer.
    int unanswered_ = 0;
    /// Orders in a row that conflicted.
    int conflicts_ = 0;
    time_point retry_at_{};
    worker_id worker_;
    std::size_t evictions_ = 0;
    std::size_t cold_loads_ = 0;
    std::size_t warm_loads_ = 0;
};

} // namespace mulberry

#endif
