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
constexpr std::chrono::milliseconds refused_order_backoff{1000};
/// A request ends at its worker some milliseconds after this VM saw its end,
/// and later if this VM gave the request up. Until then the worker refuses an
/// unload, and a refusal costs more than this wait.
constexpr std::chrono::milliseconds end_of_use_margin{10};
/// Time for which an adapter is not unloaded after the worker refused to.
constexpr std::chrono::milliseconds refused_unload_backoff{150};
/// Conflicting orders in a row after which the known sequence counts as wrong.
constexpr int conflicts_before_resync = 2;
/// Requests of a VM that is lost run on until their deadlines.
constexpr std::chrono::seconds unknown_use_time{6};
/// Upper bound on the age of a report when it is received; reports are
/// typically some hundred milliseconds old.
constexpr std::chrono::milliseconds max_report_lag{1500};
constexpr std::chrono::milliseconds old_report_retry_interval{100};
/// Unanswered orders in a row after which a worker counts as unresponsive. A
/// worker that loses a third of its answers reaches this once in a hundred
/// orders; a dark worker within half a second.
constexpr int unresponsive_order_count = 4;
/// Weight of the newest fetch in the moving average of fetch times. Only the
/// last few fetches should count, since a burst is over within seconds.
constexpr double fetch_time_smoothing = 0.25;
/// Fetches that ended longer ago tell nothing of the weight store now.
constexpr std::chrono::milliseconds fetch_time_lifetime{1000};
/// Time in the queue that counts as much as one more waiting request when loads
/// are ranked: adapters with many waiting requests are fetched first, and no
/// adapter starves.
constexpr std::chrono::milliseconds wait_per_waiting_request{100};
/// Sizes are stated as decimal fractions, whose sums are inexact.
constexpr double rounding_mb = 0.001;

} // namespace

worker_adapters::worker_adapters(worker_adapters_settings settings,
                                 unanswered_orders earlier)
    : settings_(settings), fetch_time_(settings.cold_load_time),
      unanswered_(std::move(earlier))
{
}

void worker_adapters::on_ownership_acquired(vm_id holder, fencing_number fence,
                                            time_point orders_from,
                                            bool knows_unanswered)
{
    if (holder_ && fence_ == fence)
    {
        orders_from_ = orders_from;
        return;
    }
    has_unknown_orders_ = !knows_unanswered;
    state_known_ = false;
    holder_ = std::move(holder);
    fence_ = fence;
    consecutive_unanswered_ = 0;
    orders_from_ = orders_from;
    // Another owner may have completed an unload, and loaded the adapter again.
    for (auto& [target, state] : adapters_)
        if (state.stage == adapter_stage::unloading)
            state.stage = adapter_stage::resident;
    // Another VM may have sent orders since this VM's last one.
    sequence_.reset();
    lost_sequence_.reset();
    report_requested_ = false;
    report_from_ = orders_from;
}

void worker_adapters::on_ownership_lost()
{
    holder_.reset();
    state_known_ = false;
    sequence_.reset();
    order_.reset();
    in_flight_ = false;
    requested_model_.reset();
    std::erase_if(adapters_, [](auto const& each)
                  { return each.second.stage != adapter_stage::resident; });
}

bool worker_adapters::needs_report(time_point now) const
{
    return holder_ && !report_requested_ && now >= report_from_ &&
           (!sequence_ || may_change_unseen(now));
}

bool worker_adapters::may_change_unseen(time_point now) const
{
    return !unanswered_.empty() && !order_ &&
           unanswered_.reserved_slots(*sequence_, now) > 0;
}

void worker_adapters::on_report(std::optional<worker_report> const& report,
                                time_point now)
{
    report_requested_ = false;
    bool const is_news =
        report && !order_ && report->sequence > sequence_.value_or(0);
    if (sequence_ && !is_news)
    {
        report_from_ = now + settings_.resync_delay;
        return;
    }
    if (!report)
    {
        report_from_ = now + settings_.resync_delay;
        return;
    }
    if (predates_last_order(*report, now))
    {
        report_from_ = now + old_report_retry_interval;
        return;
    }
    sequence_ = report->sequence;
    state_known_ = true;
    unanswered_.expire(now);
    if (std::exchange(has_unknown_orders_, false))
        unknown_orders_until_ = now + late_order_limits().burst_window;
    models_.clear();
    std::map<model_target, entry> known = std::exchange(adapters_, {});
    auto const adopt = [&](model_target const& target, adapter_stage stage)
    {
        entry& made = adapters_[target];
        if (auto const before = known.find(target); before != known.end())
            made = before->second;
        else
            made.unknown_use_until = now + unknown_use_time;
        // The report lists an adapter until its unload is complete.
        bool const unloads = stage == adapter_stage::resident &&
                             made.stage == adapter_stage::unloading;
        if (!unloads)
            made.stage = stage;
        made.poll_at = unloads || stage == adapter_stage::loading ? now : never;
        made.load_expected_at = stage == adapter_stage::loading ? now : never;
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
    for (model_target const& target : report->loading_adapters)
        adopt(target, adapter_stage::loading);
    // Keep adapters that requests wait for or use, although the worker neither
    // holds nor loads them.
    for (auto const& [target, before] : known)
        if (adapters_.count(target) == 0 &&
            (before.requests_waiting > 0 || before.requests_in_progress > 0))
        {
            adopt(target, adapter_stage::requested);
            adapters_[target].load_expected_at = now + settings_.cold_load_time;
        }
}

/// Whether the report was made before the last known orders. Failure: after a
/// conflict the report shows the worker as it was before those orders. Loads in
/// progress are missing in the report and are ordered again, so that each order
/// is counted twice and the next one conflicts: for seconds the worker loads
/// nothing. The number of accepted orders never falls within an incarnation,
/// so a report with a lower number than known is an old one.
bool worker_adapters::predates_last_order(worker_report const& report,
                                          time_point now) const
{
    return lost_sequence_ && report.sequence < *lost_sequence_ &&
           now < lost_at_ + max_report_lag;
}

double worker_adapters::free_weight_memory() const
{
    double free = settings_.weight_memory_mb;
    for (base_model const& each : settings_.models)
        if (has_model(each.name) || loading_model_ == each.name)
            free -= each.weights_mb;
    return free;
}

bool worker_adapters::fits_model(base_model_id const& model) const
{
    auto const known = std::find_if(
        settings_.models.begin(), settings_.models.end(),
        [&model](base_model const& each) { return each.name == model; });
    return settings_.weight_memory_mb <= 0 || known == settings_.models.end() ||
           known->weights_mb <= free_weight_memory();
}

std::size_t worker_adapters::slot_count() const
{
    double adapter_mb = 0;
    for (base_model const& each : settings_.models)
        if (has_model(each.name))
            adapter_mb = std::max(adapter_mb, each.adapter_mb);
    if (settings_.weight_memory_mb <= 0 || adapter_mb <= 0)
        return settings_.adapter_slots;
    double const fitting =
        std::max(free_weight_memory() + rounding_mb, 0.0) / adapter_mb;
    return std::min(settings_.adapter_slots,
                    static_cast<std::size_t>(
                        std::min(fitting, double(settings_.adapter_slots))));
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

time_point worker_adapters::load_expected_at(model_target const& target) const
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() ||
        known->second.stage == adapter_stage::resident)
        return never;
    return known->second.load_expected_at;
}

bool worker_adapters::can_load(model_target const& target) const
{
    if (!sequence_ || !has_model(target.model))
        return false;
    if (auto const known = adapters_.find(target); known != adapters_.end())
        return !stale(known->second) || known->second.requests_in_progress == 0;
    return has_available_slot();
}

bool worker_adapters::has_available_slot() const
{
    std::size_t fixed = 0;
    for (auto const& [each, state] : adapters_)
        fixed += state.stage != adapter_stage::resident ||
                 state.requests_in_progress > 0 || state.requests_waiting > 0;
    return fixed + reserved_slots_ < slot_count();
}

void worker_adapters::request_load(model_target const& target,
                                   adapter_version newest, time_point now)
{
    auto const [known, added] = adapters_.try_emplace(target);
    if (!added)
        return;
    known->second.newest = newest;
    known->second.requested_at = now;
    known->second.load_expected_at =
        now + (was_recently_resident(target) ? settings_.warm_load_time
                                             : settings_.cold_load_time);
}

void worker_adapters::begin_use(model_target const& target)
{
    if (auto const known = adapters_.find(target); known != adapters_.end())
        ++known->second.requests_in_progress;
}

void worker_adapters::end_use(model_target const& target, time_point now)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() || known->second.requests_in_progress == 0)
        return;
    if (--known->second.requests_in_progress == 0)
        known->second.unload_not_before =
            std::max(known->second.unload_not_before, now + end_of_use_margin);
}

void worker_adapters::begin_wait(model_target const& target)
{
    if (auto const known = adapters_.find(target); known != adapters_.end())
        ++known->second.requests_waiting;
}

void worker_adapters::end_wait(model_target const& target)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() || known->second.requests_waiting == 0)
        return;
    --known->second.requests_waiting;
    // No request waits for the adapter any more, and no load was ordered: the
    // slot is free.
    if (known->second.requests_waiting == 0 &&
        known->second.stage == adapter_stage::requested &&
        known->second.requests_in_progress == 0 &&
        !(order_ && order_->adapter == target.adapter))
        adapters_.erase(known);
}

void worker_adapters::clear_load_deadlines()
{
    for (auto& [target, state] : adapters_)
    {
        state.deadline = never;
        state.deadlines = 0;
    }
}

void worker_adapters::add_load_deadline(model_target const& target,
                                        time_point deadline)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() || deadline == never)
        return;
    known->second.deadline = std::min(known->second.deadline, deadline);
    ++known->second.deadlines;
}

time_point worker_adapters::ranked_deadline(entry const& which)
{
    if (which.deadline == never)
        return never;
    return which.deadline -
           duration(wait_per_waiting_request * (which.deadlines - 1));
}

void worker_adapters::on_adapter_missing(model_target const& target,
                                         time_point now)
{
    auto const known = adapters_.find(target);
    if (known == adapters_.end() ||
        known->second.stage != adapter_stage::resident)
        return;
    adapters_.erase(known);
    // The known state of the worker is wrong: read a report before the next
    // order.
    mark_out_of_sync(now);
    report_from_ = now;
}

void worker_adapters::mark_outdated(model_target const& target,
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

bool worker_adapters::is_unresponsive() const
{
    return consecutive_unanswered_ >= unresponsive_order_count;
}

std::size_t worker_adapters::occupied_slots() const
{
    return static_cast<std::size_t>(std::count_if(
        adapters_.begin(), adapters_.end(),
        [](auto const& each)
        { return each.second.stage != adapter_stage::requested; }));
}

void worker_adapters::update_reserved_slots(time_point now)
{
    reserved_slots_ = unanswered_.empty()
                          ? 0
                          : unanswered_.reserved_slots(*sequence_ + 1, now);
    if (now < unknown_orders_until_)
        reserved_slots_ = std::max(reserved_slots_, unknown_order_slots());
}

std::size_t worker_adapters::unknown_order_slots() const
{
    return (slot_count() + 1) / 2;
}

bool worker_adapters::fits_unanswered_loads(std::size_t occupied,
                                            time_point now) const
{
    return unanswered_.empty() ||
           occupied + unanswered_.reserved_slots(*sequence_ + 1, now) <=
               slot_count();
}

std::size_t worker_adapters::loads_in_progress() const
{
    return static_cast<std::size_t>(
        std::count_if(adapters_.begin(), adapters_.end(),
                      [](auto const& each)
                      { return each.second.stage == adapter_stage::loading; }));
}

/// A load names the wanted version. Failure: the unload of an old copy is lost,
/// the worker answers the load that follows with "already there", and the old
/// copy is taken for the new version.
worker_order worker_adapters::make_order(order_kind kind,
                                         model_target target) const
{
    worker_order order{kind,       target.model, target.adapter, worker_,
                       *sequence_, *holder_,     fence_,         {}};
    auto const known = adapters_.find(target);
    if (kind == order_kind::load && known != adapters_.end())
        order.version = known->second.stage == adapter_stage::loading
                            ? known->second.ordered_version
                            : known->second.newest;
    return order;
}

std::optional<worker_order>
worker_adapters::next_order(worker_id const& worker,
                            score const& retention_priority, time_point now)
{
    if (!sequence_ || !holder_ || now < retry_at_)
        return std::nullopt;
    worker_ = worker;
    if (in_flight_)
        return std::nullopt;
    if (order_)
        return send(*order_, now);
    update_reserved_slots(now);
    auto next = poll_order(now);
    if (!next && unload_in_progress())
        return std::nullopt;
    if (!next)
        next = model_order(now);
    if (!next)
        next = load_order(now);
    if (!next)
        next = evict_order(retention_priority, now);
    order_repeated_ = false;
    order_undecided_ = false;
    if (!next)
        return std::nullopt;
    return send(*next, now);
}

worker_order worker_adapters::send(worker_order const& order, time_point now)
{
    order_ = order;
    in_flight_ = true;
    unanswered_.on_sent(order, now);
    return order;
}

/// Failure: a request that another VM sent without a grant uses an adapter that
/// is unloaded. The worker accepts the unload but carries out no other order
/// until that request ends: each other order conflicts, and the sequence looks
/// wrong although it is right. Therefore only polls are sent until the unload
/// is complete.
bool worker_adapters::unload_in_progress() const
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
    if (loading_model_ && now >= model_poll_at_)
        return make_order(order_kind::load, {*loading_model_, {}});
    // Polls of loads conflict until an unload in progress is complete.
    for (auto const& [target, state] : adapters_)
        if (state.stage == adapter_stage::unloading && now >= state.poll_at)
            return make_order(order_kind::unload, target);
    for (auto const& [target, state] : adapters_)
        if (state.stage == adapter_stage::loading && now >= state.poll_at)
            return make_order(order_kind::load, target);
    return std::nullopt;
}

std::optional<worker_order> worker_adapters::model_order(time_point now) const
{
    // A worker without a model carries out no load of an adapter.
    if (!requested_model_ || loading_model_ || !models_.empty() ||
        !fits_unanswered_loads(0, now))
        return std::nullopt;
    return make_order(order_kind::load, {*requested_model_, {}});
}

/// Limit on concurrent loads, which falls as fetches slow down. Load it
/// answers: all workers together fetch more than the weight store can send at
/// full speed; every fetch then takes several times longer and occupies its
/// adapter slot for as long. With fewer concurrent loads the first ones finish
/// sooner and the others no later.
std::size_t worker_adapters::max_loads_in_progress() const
{
    auto const limit =
        (settings_.max_concurrent_loads * settings_.cold_load_time +
         fetch_time_ / 2) /
        fetch_time_;
    return std::clamp<std::size_t>(static_cast<std::size_t>(limit), 1,
                                   settings_.max_concurrent_loads);
}

time_point worker_adapters::fetches_slow_until() const
{
    return fetch_time_ * 2 > settings_.cold_load_time * 3
               ? fetched_at_ + fetch_time_lifetime
               : time_point::min();
}

void worker_adapters::record_fetch_time(entry const& state, time_point now)
{
    auto const took =
        std::max<duration>(now - state.ordered_at, settings_.cold_load_time);
    fetched_at_ = now;
    fetch_time_ += duration(static_cast<duration::rep>(
        fetch_time_smoothing * double((took - fetch_time_).count())));
}

std::optional<worker_order> worker_adapters::load_order(time_point now) const
{
    if (occupied_slots() + reserved_slots_ >= slot_count() ||
        loads_in_progress() >= max_loads_in_progress())
        return std::nullopt;
    std::pair<model_target const, entry> const* first = nullptr;
    // Ascending.
    std::pair<time_point, duration> first_order;
    for (auto const& each : adapters_)
    {
        entry const& state = each.second;
        if (state.stage != adapter_stage::requested ||
            !has_model(each.first.model))
            continue;
        std::pair<time_point, duration> const order{
            ranked_deadline(state),
            state.requested_at - now -
                wait_per_waiting_request * state.requests_waiting};
        if (first != nullptr && order >= first_order)
            continue;
        first = &each;
        first_order = order;
    }
    if (first == nullptr)
        return std::nullopt;
    return make_order(order_kind::load, first->first);
}

/// Selects an idle adapter to evict: outdated copies first, then, if the slots
/// are full, one that no unknown request can use, with the lowest retention
/// priority. An unload under a request blocks all orders until that request
/// ends: seconds, if the VM that sent it is lost. Only adapters that
/// no request uses are unloaded, so that an unload is carried out at once and
/// never under a request.
std::optional<worker_order>
worker_adapters::evict_order(score const& retention_priority, time_point now)
{
    std::size_t const occupied = occupied_slots();
    std::size_t const slots = slot_count();
    std::size_t const reserved_now =
        unanswered_.empty() ? 0 : unanswered_.reserved_slots(*sequence_, now);
    // An unload also makes the worker refuse the unanswered loads that have
    // its number.
    bool const overcommitted = occupied + reserved_now > slots;
    bool const improves =
        fits_unanswered_loads(occupied - 1, now) ||
        unanswered_.reserved_slots(*sequence_ + 1, now) <= reserved_now;
    if (occupied == 0 || !improves)
        return std::nullopt;
    bool const full = overcommitted || (occupied + reserved_slots_ >= slots &&
                                        occupied < adapters_.size());
    std::pair<model_target const, entry> const* victim = nullptr;
    std::pair<bool, double> lowest_priority;
    for (auto const& each : adapters_)
    {
        entry const& state = each.second;
        if (state.stage != adapter_stage::resident ||
            state.requests_in_progress > 0 || now < state.unload_not_before)
            continue;
        if (stale(state))
            return make_order(order_kind::unload, each.first);
        if (!full || (state.requests_waiting > 0 && !overcommitted))
            continue;
        std::pair<bool, double> const priority{now < state.unknown_use_until,
                                               retention_priority(each.first)};
        if (victim != nullptr && priority >= lowest_priority)
            continue;
        lowest_priority = priority;
        victim = &each;
    }
    if (victim == nullptr)
        return std::nullopt;
    return make_order(order_kind::unload, victim->first);
}

order_expectation worker_adapters::expectation() const
{
    if (order_repeated_)
        return {};
    bool const unloads = order_->kind == order_kind::unload;
    bool const is_poll =
        order_->adapter.empty()
            ? loading_model_ == order_->model
            : stage({order_->model, order_->adapter}) ==
                  (unloads ? adapter_stage::unloading : adapter_stage::loading);
    std::set<order_outcome> possible{
        order_outcome::conflict, order_outcome::fenced, order_outcome::refused,
        order_outcome::other_worker};
    if (is_poll || unloads)
        possible.insert(order_outcome::already_applied);
    if (!is_poll)
        possible.insert(order_outcome::accepted);
    return {std::move(possible),
            is_poll ? std::optional(order_outcome::accepted) : std::nullopt};
}

bool worker_adapters::on_outcome(order_outcome outcome, time_point now)
{
    if (!order_ || !in_flight_)
        return false;
    in_flight_ = false;
    worker_order const order = *order_;
    if (outcome == order_outcome::undecided)
    {
        order_repeated_ = true;
        order_undecided_ = true;
        retry_at_ = now;
        return false;
    }
    if (outcome != order_outcome::unknown)
        unanswered_.on_answered(order);
    else
    {
        // The order is sent again unchanged until the worker answers it.
        order_repeated_ = true;
        ++consecutive_unanswered_;
        retry_at_ = now + settings_.poll_interval;
        return false;
    }
    consecutive_unanswered_ = 0;
    order_.reset();
    if (!sequence_)
    {
        // Track was lost while the order was in flight. The next report must
        // show the effect of this order; an older report must not be accepted.
        bool const counted = outcome == order_outcome::accepted ||
                             outcome == order_outcome::already_applied;
        if (lost_sequence_ && counted)
            lost_sequence_ = std::max(*lost_sequence_, order.expected_sequence);
        return false;
    }
    switch (outcome)
    {
    case order_outcome::accepted:
        consecutive_conflicts_ = 0;
        return on_accepted(order, now);
    case order_outcome::already_applied:
        consecutive_conflicts_ = 0;
        on_already_applied(order, now);
        return true;
    case order_outcome::conflict:
        // A repeated order whose sequence number the worker is past was carried
        // out the first time, unless another one was in its place, or the
        // worker refused it the first time, too.
        if (order_repeated_ && order.expected_sequence == *sequence_)
        {
            if (!order_undecided_ && !unanswered_.may_be_displaced(order) &&
                now >= unknown_orders_until_)
                return on_accepted(order, now);
            mark_out_of_sync(now);
            return false;
        }
        on_conflict(order, now);
        return false;
    case order_outcome::refused:
        retry_at_ = now + refused_order_backoff;
        // The adapter does not exist: no request should wait for it.
        if (!order.adapter.empty())
            adapters_.erase({order.model, order.adapter});
        return false;
    case order_outcome::fenced:
    case order_outcome::other_worker:
    case order_outcome::unknown:
    case order_outcome::undecided:
        break;
    }
    mark_out_of_sync(now);
    return false;
}

bool worker_adapters::on_accepted(worker_order const& order, time_point now)
{
    if (order.kind == order_kind::unload)
        return on_unload_begun(order, now);
    if (order.adapter.empty())
        return on_model_load_begun(order, now);
    model_target const target{order.model, order.adapter};
    entry& state = adapters_[target];
    if (state.stage == adapter_stage::loading)
    {
        state.poll_at = now + settings_.poll_interval;
        return false;
    }
    ++*sequence_;
    bool const warm = was_recently_resident(target);
    ++(warm ? warm_loads_ : cold_loads_);
    record_resident(target);
    state.stage = adapter_stage::loading;
    state.ordered_version = order.version;
    state.ordered_at = now;
    state.cold = !warm;
    state.load_expected_at =
        now + (warm ? settings_.warm_load_time : fetch_time_);
    // Poll after the usual time even if recent fetches were slower: fetches may
    // be fast again.
    state.poll_at =
        now + (warm ? settings_.warm_load_time : settings_.cold_load_time);
    return true;
}

/// A request that this VM does not know of may use the adapter. The slot is
/// free only when that request has ended; a load before that would be one too
/// many.
bool worker_adapters::on_unload_begun(worker_order const& order, time_point now)
{
    entry& state = adapters_[{order.model, order.adapter}];
    bool const begun = std::exchange(state.stage, adapter_stage::unloading) !=
                       adapter_stage::unloading;
    if (begun)
        ++*sequence_;
    state.poll_at = now + settings_.poll_interval;
    return begun;
}

bool worker_adapters::on_model_load_begun(worker_order const& order,
                                          time_point now)
{
    bool const begun = !loading_model_;
    if (begun)
        ++*sequence_;
    loading_model_ = order.model;
    requested_model_.reset();
    model_poll_at_ = now + settings_.cold_load_time / 2;
    return begun;
}

void worker_adapters::on_already_applied(worker_order const& order,
                                         time_point now)
{
    model_target const target{order.model, order.adapter};
    if (order.adapter.empty())
    {
        models_[order.model] = true;
        loading_model_.reset();
        requested_model_.reset();
        model_poll_at_ = never;
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
        known->second.poll_at = never;
        if (known->second.requests_waiting == 0)
        {
            adapters_.erase(known);
            return;
        }
        // The adapter was requested again meanwhile, or its outdated copy was
        // unloaded to load a newer version.
        known->second.stage = adapter_stage::requested;
        known->second.version = {};
        return;
    }
    entry& state = adapters_[target];
    if (state.stage == adapter_stage::requested && order_repeated_ &&
        !order_undecided_)
        ++*sequence_;
    if (state.stage == adapter_stage::loading && state.cold)
        record_fetch_time(state, now);
    state.stage = adapter_stage::resident;
    state.poll_at = never;
    state.load_expected_at = never;
    state.version = std::max(state.version, order.version);
}

/// A single conflict may be a transient state of the worker; if the next order
/// conflicts as well, the known sequence is wrong.
void worker_adapters::on_conflict(worker_order const& order, time_point now)
{
    if (++consecutive_conflicts_ >= conflicts_before_resync)
        return mark_out_of_sync(now);
    retry_at_ = now + settings_.conflict_backoff;
    auto const known = adapters_.find({order.model, order.adapter});
    if (order.kind == order_kind::unload && known != adapters_.end())
        known->second.unload_not_before = now + refused_unload_backoff;
}

/// Marks the worker's state as unknown. No order is sent until a report that is
/// younger than the last order shows the state.
void worker_adapters::mark_out_of_sync(time_point now)
{
    consecutive_conflicts_ = 0;
    if (sequence_)
    {
        lost_sequence_ = sequence_;
        lost_at_ = now;
    }
    sequence_.reset();
    report_requested_ = false;
    report_from_ = now + settings_.resync_delay;
    loading_model_.reset();
    model_poll_at_ = never;
}

bool worker_adapters::was_recently_resident(model_target const& target) const
{
    return std::find(recently_resident_.begin(), recently_resident_.end(),
                     target) != recently_resident_.end();
}

void worker_adapters::record_resident(model_target const& target)
{
    recently_resident_.remove(target);
    recently_resident_.push_back(target);
    if (recently_resident_.size() > copies_per_slot * settings_.adapter_slots)
        recently_resident_.pop_front();
}

time_point worker_adapters::next_due() const
{
    if (!holder_)
        return never;
    time_point next = never;
    if (!sequence_)
        return report_requested_ ? never : report_from_;
    if (in_flight_)
        return never;
    if (order_)
        return retry_at_;
    if (loading_model_)
        next = model_poll_at_;
    for (auto const& [target, state] : adapters_)
        if (state.stage == adapter_stage::loading ||
            state.stage == adapter_stage::unloading)
            next = std::min(next, state.poll_at);
    return next == never ? never : std::max(next, retry_at_);
}

} // namespace mulberry
