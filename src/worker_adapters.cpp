#include "worker_adapters.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mulberry
{
namespace
{

/// Number of unloaded adapters of which a worker is assumed to keep copies, in
/// multiples of its slots. It affects only the initial estimate of a load's
/// duration.
constexpr std::size_t copies_per_slot = 4;
/// Pause after an order that the worker refused as impossible.
constexpr std::chrono::milliseconds refused_retry{1000};
/// A request ends at its worker some milliseconds after this VM saw its end,
/// and later if this VM gave the request up. Until then the worker refuses an
/// unload, and a refusal costs more than this wait.
constexpr std::chrono::milliseconds end_of_use{10};
/// Time for which an adapter is not unloaded after the worker refused to.
constexpr std::chrono::milliseconds busy_pause{150};
/// Conflicting orders in a row after which the known sequence counts as wrong.
constexpr int most_conflicts = 2;
/// Upper bound on the age of a report when it is received; reports are
/// typically some hundred milliseconds old.
constexpr std::chrono::milliseconds longest_report_lag{1500};
constexpr std::chrono::milliseconds report_again{100};
/// Unanswered orders in a row after which a worker counts as unresponsive. A
/// worker that loses a third of its answers reaches this once in a hundred
/// orders; a dark worker within half a second.
constexpr int unanswered_that_count = 4;
/// Weight of the newest fetch in the moving average of fetch times. Only the
/// last few fetches should count, since a burst is over within seconds.
constexpr double newest_fetch_weight = 0.25;
/// Time in the queue that counts as much as one more waiting request when loads
/// are ranked: adapters with many waiting requests are fetched first, and no
/// adapter starves.
constexpr std::chrono::milliseconds waiting_worth{100};

} // namespace

worker_adapters::worker_adapters(worker_adapters_settings settings)
    : settings_(settings), fetch_time_(settings.cold_load)
{
}

void worker_adapters::grant(vm_id holder, fencing_number fence,
                            time_point orders_from)
{
    if (holder_ && fence_ == fence)
    {
        orders_from_ = orders_from;
        return;
    }
    known_ = false;
    holder_ = std::move(holder);
    fence_ = fence;
    unanswered_ = 0;
    orders_from_ = orders_from;
    // Another VM may have sent orders since this VM's last one.
    sequence_.reset();
    lost_sequence_.reset();
    report_asked_ = false;
    report_from_ = orders_from;
}

void worker_adapters::revoke()
{
    holder_.reset();
    known_ = false;
    sequence_.reset();
    order_.reset();
    in_flight_ = false;
    wanted_model_.reset();
    std::erase_if(adapters_, [](auto const& each)
                  { return each.second.stage != adapter_stage::resident; });
}

bool worker_adapters::wants_report(time_point now) const
{
    return holder_ && !sequence_ && !report_asked_ && now >= report_from_;
}

void worker_adapters::on_report(std::optional<worker_report> const& report,
                                time_point now)
{
    report_asked_ = false;
    if (sequence_)
        return;
    if (!report)
    {
        report_from_ = now + settings_.resync_delay;
        return;
    }
    if (too_old(*report, now))
    {
        report_from_ = now + report_again;
        return;
    }
    sequence_ = report->sequence;
    known_ = true;
    models_.clear();
    std::map<model_target, entry> known = std::exchange(adapters_, {});
    auto const adopt = [&](model_target const& target, adapter_stage stage)
    {
        entry& made = adapters_[target];
        if (auto const before = known.find(target); before != known.end())
            made = before->second;
        made.stage = stage;
        made.check_at = stage == adapter_stage::loading ? now : never;
        made.due = stage == adapter_stage::loading ? now : never;
    };
    for (auto const& [model, adapters] : report->models)
    {
        models_[model] = true;
        for (auto const& [adapter, version] : adapters)
        {
            adopt({model, adapter}, adapter_stage::resident);
            adapters_[{model, adapter}].version = version;
        }
    }
    for (model_target const& target : report->coming)
        adopt(target, adapter_stage::loading);
    // Keep adapters that requests wait for or use, although the worker neither
    // holds nor loads them.
    for (auto const& [target, before] : known)
        if (adapters_.count(target) == 0 &&
            (before.waits > 0 || before.uses > 0))
        {
            adopt(target, adapter_stage::wanted);
            adapters_[target].due = now + settings_.cold_load;
        }
}

/// Whether the report was made before the last known orders. Failure: after a
/// conflict the report shows the worker as it was before those orders. Loads in
/// progress are missing in the report and are ordered again, so that each order
/// is counted twice and the next one conflicts: for seconds the worker loads
/// nothing. The number of accepted orders never falls during a worker's life,
/// so a report with a lower number than known is an old one.
bool worker_adapters::too_old(worker_report const& report, time_point now) const
{
    return lost_sequence_ && report.sequence < *lost_sequence_ &&
           now < lost_at_ + longest_report_lag;
}

bool worker_adapters::has_model(base_model_id const& model) const
{
    auto const held = models_.find(model);
    return held != models_.end() && held->second;
}

std::vector<base_model_id> worker_adapters::models() const
{
    std::vector<base_model_id> held;
    for (auto const& [model, present] : models_)
        if (present)
            held.push_back(model);
    return held;
}

std::optional<adapter_stage>
worker_adapters::stage(model_target const& target) const
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end())
        return std::nullopt;
    return known->second.stage;
}

adapter_version worker_adapters::version(model_target const& target) const
{
    auto const known = adapters_.find(target);
    return known == adapters_.end() ? adapter_version() : known->second.version;
}

time_point worker_adapters::due(model_target const& target) const
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() ||
        known->second.stage == adapter_stage::resident)
        return never;
    return known->second.due;
}

bool worker_adapters::can_take(model_target const& target) const
{
    if (!sequence_ || !has_model(target.model))
        return false;
    if (auto const known = adapters_.find(target); known != adapters_.end())
        return !stale(known->second) || known->second.uses == 0;
    return has_room();
}

bool worker_adapters::has_room() const
{
    std::size_t fixed = 0;
    for (auto const& [each, state] : adapters_)
        fixed += state.stage != adapter_stage::resident || state.uses > 0 ||
                 state.waits > 0;
    return fixed < settings_.adapter_slots;
}

void worker_adapters::want(model_target const& target, adapter_version newest,
                           time_point now)
{
    auto const [known, added] = adapters_.try_emplace(target);
    if (!added)
        return;
    known->second.newest = newest;
    known->second.wanted_at = now;
    known->second.due = now + (was_here_lately(target) ? settings_.warm_load
                                                       : settings_.cold_load);
}

void worker_adapters::begin_use(model_target const& target)
{
    if (auto const known = adapters_.find(target); known != adapters_.end())
        ++known->second.uses;
}

void worker_adapters::end_use(model_target const& target, time_point now)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() || known->second.uses == 0)
        return;
    if (--known->second.uses == 0)
        known->second.busy_until =
            std::max(known->second.busy_until, now + end_of_use);
}

void worker_adapters::begin_wait(model_target const& target)
{
    if (auto const known = adapters_.find(target); known != adapters_.end())
        ++known->second.waits;
}

void worker_adapters::end_wait(model_target const& target)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() || known->second.waits == 0)
        return;
    --known->second.waits;
    // No request waits for the adapter any more, and no load was ordered: the
    // slot is free.
    if (known->second.waits == 0 &&
        known->second.stage == adapter_stage::wanted &&
        known->second.uses == 0 &&
        !(order_ && order_->adapter == target.adapter))
        adapters_.erase(known);
}

void worker_adapters::missing(model_target const& target, time_point now)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() ||
        known->second.stage != adapter_stage::resident)
        return;
    adapters_.erase(known);
    // The known state of the worker is wrong: read a report before the next
    // order.
    lose_track(now);
    report_from_ = now;
}

void worker_adapters::outdate(model_target const& target,
                              adapter_version newest)
{
    auto const known = adapters_.find(target);
    if (known != adapters_.end() && newest > known->second.newest)
        known->second.newest = newest;
}

bool worker_adapters::outdated(model_target const& target) const
{
    auto const known = adapters_.find(target);
    return known != adapters_.end() && stale(known->second) &&
           known->second.stage == adapter_stage::resident;
}

bool worker_adapters::leaves_orders_unanswered() const
{
    return unanswered_ >= unanswered_that_count;
}

std::size_t worker_adapters::occupied() const
{
    return static_cast<std::size_t>(
        std::count_if(adapters_.begin(), adapters_.end(),
                      [](auto const& each)
                      { return each.second.stage != adapter_stage::wanted; }));
}

std::size_t worker_adapters::coming() const
{
    return static_cast<std::size_t>(
        std::count_if(adapters_.begin(), adapters_.end(),
                      [](auto const& each)
                      { return each.second.stage == adapter_stage::loading; }));
}

/// A load names the wanted version. Failure: the unload of an old copy is lost,
/// the worker answers the load that follows with "already there", and the old
/// copy is taken for the new version.
worker_order worker_adapters::make(order_kind kind, model_target target) const
{
    worker_order order{kind,       target.model, target.adapter, worker_,
                       *sequence_, *holder_,     fence_,         {}};
    auto const known = adapters_.find(target);
    if (kind == order_kind::load && known != adapters_.end())
        order.version = known->second.stage == adapter_stage::loading
                            ? known->second.ordered
                            : known->second.newest;
    return order;
}

std::optional<worker_order> worker_adapters::next_order(worker_id const& worker,
                                                        score const& keep,
                                                        time_point now)
{
    if (!sequence_ || !holder_ || now < retry_at_)
        return std::nullopt;
    worker_ = worker;
    if (in_flight_)
        return std::nullopt;
    if (order_)
    {
        in_flight_ = true;
        return order_;
    }
    auto next = poll_order(now);
    if (!next && waits_for_unload())
        return std::nullopt;
    if (!next)
        next = model_order();
    if (!next)
        next = load_order(now);
    if (!next)
        next = evict_order(keep, now);
    order_ = next;
    in_flight_ = next.has_value();
    repeated_ = false;
    return next;
}

/// Failure: a request that another VM sent without a grant uses an adapter that
/// is unloaded. The worker accepts the unload but carries out no other order
/// until that request ends: each other order conflicts, and the sequence looks
/// wrong although it is right. Therefore only polls are sent until the unload
/// is complete.
bool worker_adapters::waits_for_unload() const
{
    return std::any_of(adapters_.begin(), adapters_.end(),
                       [](auto const& each) {
                           return each.second.stage == adapter_stage::unloading;
                       });
}

/// Polls an order in progress by sending it again. A worker that has carried
/// the order out says so at once, one that is still loading continues, and
/// neither counts the repetition as another order.
std::optional<worker_order> worker_adapters::poll_order(time_point now)
{
    if (loading_model_ && now >= model_check_at_)
        return make(order_kind::load, {*loading_model_, {}});
    for (auto const& [target, state] : adapters_)
    {
        if (now < state.check_at)
            continue;
        if (state.stage == adapter_stage::loading)
            return make(order_kind::load, target);
        if (state.stage == adapter_stage::unloading)
            return make(order_kind::unload, target);
    }
    return std::nullopt;
}

std::optional<worker_order> worker_adapters::model_order() const
{
    if (!wanted_model_ || loading_model_ || !models_.empty())
        return std::nullopt;
    return make(order_kind::load, {*wanted_model_, {}});
}

/// Limit on concurrent loads, which falls as fetches slow down. Load it
/// answers: all workers together fetch more than the weight store can send at
/// full speed; every fetch then takes several times longer and occupies its
/// adapter slot for as long. With fewer concurrent loads the first ones finish
/// sooner and the others no later.
std::size_t worker_adapters::coming_limit() const
{
    auto const limit =
        (settings_.max_coming * settings_.cold_load + fetch_time_ / 2) /
        fetch_time_;
    return std::clamp<std::size_t>(static_cast<std::size_t>(limit), 1,
                                   settings_.max_coming);
}

void worker_adapters::note_fetch(entry const& state, time_point now)
{
    auto const took =
        std::max<duration>(now - state.ordered_at, settings_.cold_load);
    fetch_time_ += duration(static_cast<duration::rep>(
        newest_fetch_weight * double((took - fetch_time_).count())));
}

std::optional<worker_order> worker_adapters::load_order(time_point now) const
{
    if (occupied() >= settings_.adapter_slots || coming() >= coming_limit())
        return std::nullopt;
    std::pair<model_target const, entry> const* first = nullptr;
    duration most{};
    for (auto const& each : adapters_)
    {
        entry const& state = each.second;
        if (state.stage != adapter_stage::wanted ||
            !has_model(each.first.model))
            continue;
        duration const worth =
            now - state.wanted_at + waiting_worth * state.waits;
        if (first != nullptr && worth <= most)
            continue;
        first = &each;
        most = worth;
    }
    if (first == nullptr)
        return std::nullopt;
    return make(order_kind::load, first->first);
}

/// Selects an idle adapter to evict: outdated copies first, then, if the slots
/// are full, the adapter with the lowest retention priority. Only adapters that
/// no request uses are unloaded, so that an unload is carried out at once and
/// never under a request.
std::optional<worker_order> worker_adapters::evict_order(score const& keep,
                                                         time_point now)
{
    bool const full =
        occupied() >= settings_.adapter_slots && occupied() < adapters_.size();
    std::pair<model_target const, entry> const* victim = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto const& each : adapters_)
    {
        entry const& state = each.second;
        if (state.stage != adapter_stage::resident || state.uses > 0 ||
            now < state.busy_until)
            continue;
        if (stale(state))
            return make(order_kind::unload, each.first);
        if (!full || state.waits > 0)
            continue;
        double const worth = keep(each.first);
        if (worth >= least)
            continue;
        least = worth;
        victim = &each;
    }
    if (victim == nullptr)
        return std::nullopt;
    return make(order_kind::unload, victim->first);
}

bool worker_adapters::on_outcome(order_outcome outcome, time_point now)
{
    if (!order_ || !in_flight_)
        return false;
    in_flight_ = false;
    worker_order const order = *order_;
    if (outcome == order_outcome::unknown)
    {
        // The order is sent again unchanged until the worker answers it.
        repeated_ = true;
        ++unanswered_;
        retry_at_ = now + settings_.poll_interval;
        return false;
    }
    unanswered_ = 0;
    order_.reset();
    if (!sequence_)
    {
        // Track was lost while the order was in flight. The next report must
        // show the effect of this order; an older report must not be accepted.
        bool const counted = outcome == order_outcome::accepted ||
                             outcome == order_outcome::holds;
        if (lost_sequence_ && counted)
            lost_sequence_ = std::max(*lost_sequence_, order.expected_sequence);
        return false;
    }
    switch (outcome)
    {
    case order_outcome::accepted:
        conflicts_ = 0;
        return accepted(order, now);
    case order_outcome::holds:
        conflicts_ = 0;
        held(order, now);
        return true;
    case order_outcome::conflict:
        // A repeated order whose sequence number the worker is past was carried
        // out the first time.
        if (repeated_ && order.expected_sequence == *sequence_)
            return accepted(order, now);
        conflicted(order, now);
        return false;
    case order_outcome::refused:
        retry_at_ = now + refused_retry;
        // The adapter does not exist: no request should wait for it.
        if (!order.adapter.empty())
            adapters_.erase({order.model, order.adapter});
        return false;
    case order_outcome::fenced:
    case order_outcome::other_worker:
    case order_outcome::unknown:
        break;
    }
    lose_track(now);
    return false;
}

bool worker_adapters::accepted(worker_order const& order, time_point now)
{
    if (order.kind == order_kind::unload)
        return unload_begun(order, now);
    if (order.adapter.empty())
        return model_load_begun(order, now);
    model_target const target{order.model, order.adapter};
    entry& state = adapters_[target];
    if (state.stage == adapter_stage::loading)
    {
        state.check_at = now + settings_.poll_interval;
        return false;
    }
    ++*sequence_;
    bool const warm = was_here_lately(target);
    ++(warm ? warm_loads_ : cold_loads_);
    remember(target);
    state.stage = adapter_stage::loading;
    state.ordered = order.version;
    state.ordered_at = now;
    state.cold = !warm;
    state.due = now + (warm ? settings_.warm_load : fetch_time_);
    // Poll after the usual time even if recent fetches were slower: fetches may
    // be fast again.
    state.check_at = now + (warm ? settings_.warm_load : settings_.cold_load);
    return true;
}

/// A request that this VM does not know of may use the adapter. The slot is
/// free only when that request has ended; a load before that would be one too
/// many.
bool worker_adapters::unload_begun(worker_order const& order, time_point now)
{
    entry& state = adapters_[{order.model, order.adapter}];
    bool const begun = std::exchange(state.stage, adapter_stage::unloading) !=
                       adapter_stage::unloading;
    if (begun)
        ++*sequence_;
    state.check_at = now + settings_.poll_interval;
    return begun;
}

bool worker_adapters::model_load_begun(worker_order const& order,
                                       time_point now)
{
    bool const begun = !loading_model_;
    if (begun)
        ++*sequence_;
    loading_model_ = order.model;
    wanted_model_.reset();
    model_check_at_ = now + settings_.cold_load / 2;
    return begun;
}

void worker_adapters::held(worker_order const& order, time_point now)
{
    model_target const target{order.model, order.adapter};
    if (order.adapter.empty())
    {
        models_[order.model] = true;
        loading_model_.reset();
        wanted_model_.reset();
        model_check_at_ = never;
        return;
    }
    if (order.kind == order_kind::unload)
    {
        ++evictions_;
        auto const known = adapters_.find(target);
        if (known == adapters_.end())
            return;
        if (known->second.stage != adapter_stage::unloading)
            ++*sequence_;
        known->second.check_at = never;
        if (known->second.waits == 0)
        {
            adapters_.erase(known);
            return;
        }
        // The adapter was requested again meanwhile, or its outdated copy was
        // unloaded to load a newer version.
        known->second.stage = adapter_stage::wanted;
        known->second.version = {};
        return;
    }
    entry& state = adapters_[target];
    if (state.stage == adapter_stage::wanted && repeated_)
        ++*sequence_;
    if (state.stage == adapter_stage::loading && state.cold)
        note_fetch(state, now);
    state.stage = adapter_stage::resident;
    state.check_at = never;
    state.due = never;
    state.version = std::max(state.version, order.version);
}

/// A single conflict may be a transient state of the worker; if the next order
/// conflicts as well, the known sequence is wrong.
void worker_adapters::conflicted(worker_order const& order, time_point now)
{
    if (++conflicts_ >= most_conflicts)
        return lose_track(now);
    retry_at_ = now + settings_.conflict_pause;
    auto const known = adapters_.find({order.model, order.adapter});
    if (order.kind == order_kind::unload && known != adapters_.end())
        known->second.busy_until = now + busy_pause;
}

/// Marks the worker's state as unknown. No order is sent until a report that is
/// younger than the last order shows the state.
void worker_adapters::lose_track(time_point now)
{
    conflicts_ = 0;
    if (sequence_)
    {
        lost_sequence_ = sequence_;
        lost_at_ = now;
    }
    sequence_.reset();
    report_asked_ = false;
    report_from_ = now + settings_.resync_delay;
    loading_model_.reset();
    model_check_at_ = never;
}

bool worker_adapters::was_here_lately(model_target const& target) const
{
    return std::find(recent_.begin(), recent_.end(), target) != recent_.end();
}

void worker_adapters::remember(model_target const& target)
{
    recent_.remove(target);
    recent_.push_back(target);
    if (recent_.size() > copies_per_slot * settings_.adapter_slots)
        recent_.pop_front();
}

time_point worker_adapters::next_due() const
{
    if (!holder_)
        return never;
    time_point next = never;
    if (!sequence_)
        return report_asked_ ? never : report_from_;
    if (in_flight_)
        return never;
    if (order_)
        return retry_at_;
    if (loading_model_)
        next = model_check_at_;
    for (auto const& [target, state] : adapters_)
        if (state.stage == adapter_stage::loading ||
            state.stage == adapter_stage::unloading)
            next = std::min(next, state.check_at);
    return next == never ? never : std::max(next, retry_at_);
}

} // namespace mulberry
