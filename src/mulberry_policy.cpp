#include "mulberry_policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Workers looked at in each of the three orders (fullest with room, least
/// loaded, homes) and holders looked at: what bounds a decision's cost.
constexpr std::size_t max_workers_per_order = 6;
constexpr std::size_t max_holders_per_order = 4;
constexpr std::size_t max_homes = 2;

/// How long an answer takes a batch slot. The policy is told of arrivals only,
/// so this is a guess; it weighs a queue against a load.
constexpr double assumed_service_seconds = 2.0;

/// What a cached prefix saves: the prefill of a prompt's head.
constexpr double prefix_hit_saving_seconds = 0.2;
/// How far ahead the loss of an evicted adapter is counted.
constexpr double eviction_horizon_seconds = 60;
/// As few workers are kept open, in a fixed order, as hold what runs when each
/// is filled to this share: from the first at stall weight 0 to the second at
/// 1. What using one beyond them costs, in seconds of waiting, and the slope
/// among them.
constexpr double max_fill_share = 0.95;
constexpr double min_fill_share = 0.85;
constexpr double open_worker_cost_seconds = 25.0;
constexpr double fill_order_cost_seconds = 0.3;
/// A worker that is full of adapters pinned for an earlier owner, or whose
/// owner cannot give unload orders, takes nothing in until that changes, which
/// no time bounds. Sent there, a request would wait out its deadline while
/// others have room.
constexpr double cannot_load_cost_seconds = 1e6;
/// A worker all of whose residents are in use lets none go for a while.
constexpr double all_residents_busy_cost_seconds = 0.5;
/// How much the store's queue ahead counts: a load also delays those that
/// come after it.
constexpr double store_queue_weight = 2.0;
/// How much the victim's loss weighs against the load itself.
constexpr double victim_loss_weight = 10.0;
/// Load side's weight for each store's width of requests that wait for loads,
/// where that is more than the stall weight gives: a store at its limit costs
/// both measures, since workers stay open for requests that cannot run.
constexpr double store_congestion_weight = 1.0;
/// As store_queue_weight, for each request that waits for a load at the worker
/// itself: permits are shared by all workers, one worker gets few in a row.
constexpr double worker_queue_weight = 2.0;
/// Copies are needed until one adapter takes this share of a batch on each;
/// what a copy beyond those is worth, to a needed one.
constexpr double max_batch_share_per_adapter = 0.6;
constexpr double excess_copy_value = 0.02;

/// A waiting request gains one step of priority in this time, so that nothing
/// newer overtakes it for longer than the ten steps and the bonuses below.
constexpr double seconds_per_priority_step = 1.0;
constexpr double same_adapter_bonus = 0.25;
constexpr std::size_t max_same_adapter_count = 8;
constexpr double near_deadline_seconds = 2.0;
constexpr double near_deadline_bonus = 2.0;

/// Loads ahead: candidates kept a worker, how much more wanted the incoming has
/// to be than what it replaces, and the least rate worth a load.
constexpr std::size_t max_preload_candidates = 16;
constexpr double min_preload_gain = 5.0;
constexpr double min_preload_rate = 0.03;

bool is_evictable(resident_view const& resident)
{
    return resident.state == resident_state::ready && resident.in_flight == 0 &&
           resident.queued == 0 && !resident.pinned;
}

/// Until a batch slot frees up for one more request.
double batch_wait_seconds(worker_view const& worker)
{
    auto const slots = std::max<std::size_t>(worker.batch_slots, 1);
    std::size_t const taken = worker.running + worker.queued;
    if (taken < slots)
        return 0;
    auto const before = static_cast<double>(taken - slots + 1);
    return before * assumed_service_seconds / static_cast<double>(slots);
}

} // namespace

double mulberry_policy::retention_value(worker_view const& worker,
                                        adapter_ref const& adapter,
                                        time_point now) const
{
    double retention_value = demand_.rate(adapter, now);
    auto const known = copy_counts_.find(adapter);
    if (known != copy_counts_.end() && known->second > 1)
    {
        auto const copies = static_cast<double>(known->second);
        bool const spare = copies_needed(retention_value, now) <= copies - 1;
        retention_value *= (spare ? excess_copy_value : 1) / copies;
    }
    if (declared_ready(worker.id, adapter))
        retention_value += std::numeric_limits<float>::max();
    return retention_value;
}

double mulberry_policy::copies_needed(double rate, time_point now) const
{
    double const total = demand_.total_rate(now);
    if (total <= 0)
        return 1;
    return rate / total * fill_order_.total_smoothed_batches() /
           max_batch_share_per_adapter;
}

bool mulberry_policy::declared_ready(worker_id const& worker,
                                     adapter_ref const& adapter) const
{
    auto const at = declared_ready_.find(worker);
    return at != declared_ready_.end() && at->second.contains(adapter);
}

std::optional<double>
mulberry_policy::lowest_retention_value(worker_view const& worker,
                                        time_point now) const
{
    if (worker.residents.size() < worker.adapter_slots)
        return 0.0;
    std::optional<double> least;
    for (resident_view const& resident : worker.residents)
    {
        if (!is_evictable(resident))
            continue;
        double const value = retention_value(worker, resident.adapter, now);
        least = std::min(least.value_or(value), value);
    }
    return least;
}

double mulberry_policy::load_cost(worker_view const& worker,
                                  cluster_view const& view,
                                  time_point now) const
{
    double const queue = static_cast<double>(view.stalled()) /
                         static_cast<double>(store_concurrency_);
    double const own = static_cast<double>(worker.stalled());
    double const wait = load_seconds_ * (1 + store_queue_weight * queue +
                                         worker_queue_weight * own);
    if (!worker.can_accept_adapter())
        return cannot_load_cost_seconds;
    auto const least = lowest_retention_value(worker, now);
    if (!least)
        return wait + all_residents_busy_cost_seconds;
    // Once asked for again within the horizon, the victim stalls as long.
    double const missed = 1 - std::exp(-*least * eviction_horizon_seconds);
    return wait + victim_loss_weight * missed * load_seconds_;
}

double mulberry_policy::load_weight(cluster_view const& view) const
{
    double const queue = static_cast<double>(view.stalled()) /
                         static_cast<double>(store_concurrency_);
    return std::max(2 * stall_weight_, store_congestion_weight * queue);
}

double mulberry_policy::cost(model_request const& request,
                             worker_view const& worker,
                             cluster_view const& view, time_point now) const
{
    double stall = 0;
    resident_view const* resident = worker.find(request.adapter);
    if (resident == nullptr)
        stall = load_cost(worker, view, now);
    else if (resident->state == resident_state::loading)
        stall = load_seconds_ / 2;
    else if (resident->state == resident_state::evicting)
        stall = load_cost(worker, view, now) + all_residents_busy_cost_seconds;

    double saved = 0;
    if (request.prefix_key != 0 &&
        worker.cached_prefixes.contains(request.prefix_key))
        saved = prefix_hit_saving_seconds;
    // Added unweighted, so that it shuts also where stalls count for nothing.
    double const shut =
        stall >= cannot_load_cost_seconds ? cannot_load_cost_seconds : 0;
    return batch_wait_seconds(worker) + load_weight(view) * stall +
           opening_cost(worker) + shut - saved;
}

double mulberry_policy::opening_cost(worker_view const& worker) const
{
    double const share =
        max_fill_share - (max_fill_share - min_fill_share) * stall_weight_;
    double const position = fill_order_.relative_position(worker.id, share);
    // Squared, so that a deployment near either end gets what it asks for: at
    // 0.8 opening a worker costs a sixteenth of what it costs at 0.2.
    double const weight = 4 * (1 - stall_weight_) * (1 - stall_weight_);
    if (position < 1)
        return weight * fill_order_cost_seconds * position;
    return weight * open_worker_cost_seconds;
}

std::optional<worker_id>
mulberry_policy::choose(model_request const& request, cluster_view const& view,
                        std::set<worker_id> const& excluded, time_point now)
{
    copy_counts_[request.adapter] = view.holder_count(request.adapter);
    fill_order_.record_in_progress(request.base_model,
                                   view.in_progress(request.base_model), now);
    worker_view const* best = nullptr;
    double best_cost = 0;
    auto const consider = [&](worker_view const* worker)
    {
        if (worker == nullptr || !worker->usable ||
            worker->base_model != request.base_model ||
            excluded.contains(worker->id))
            return;
        double const value = cost(request, *worker, view, now);
        if (best != nullptr && value >= best_cost)
            return;
        best = worker;
        best_cost = value;
    };
    std::size_t const spare = excluded.size();
    for (worker_view const* worker : view.fullest_holders_with_room(
             request.adapter, max_holders_per_order + spare))
        consider(worker);
    for (worker_view const* worker : view.least_loaded_holders(
             request.adapter, max_holders_per_order + spare))
        consider(worker);
    for (worker_id const& home :
         ring_.homes(request.base_model, request.adapter, max_homes))
        consider(view.find(home));
    for (worker_view const* worker : view.fullest_with_room(
             request.base_model, max_workers_per_order + spare))
        consider(worker);
    for (worker_view const* worker :
         view.least_loaded(request.base_model, max_workers_per_order + spare))
        consider(worker);
    if (best == nullptr)
        return std::nullopt;
    return best->id;
}

std::optional<adapter_ref>
mulberry_policy::victim(worker_view const& worker, adapter_ref const&,
                        std::vector<resident_view> const& candidates,
                        time_point now)
{
    resident_view const* best = nullptr;
    double least = 0;
    for (resident_view const& candidate : candidates)
    {
        double const value = retention_value(worker, candidate.adapter, now);
        bool const less =
            best == nullptr || value < least ||
            (value == least && candidate.last_used < best->last_used);
        if (!less)
            continue;
        best = &candidate;
        least = value;
    }
    return best->adapter;
}

std::optional<std::size_t>
mulberry_policy::next(worker_view const&,
                      std::vector<waiting_request> const& eligible,
                      time_point now)
{
    std::unordered_map<adapter_ref, std::size_t> group;
    for (waiting_request const& one : eligible)
        ++group[one.adapter];
    std::size_t best = 0;
    double best_score = -std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < eligible.size(); ++i)
    {
        waiting_request const& one = eligible[i];
        double score = one.priority;
        score += seconds(now - one.arrived).count() / seconds_per_priority_step;
        score += same_adapter_bonus *
                 static_cast<double>(
                     std::min(group[one.adapter], max_same_adapter_count));
        if (one.deadline != never &&
            seconds(one.deadline - now).count() < near_deadline_seconds)
            score += near_deadline_bonus;
        if (score <= best_score)
            continue;
        best = i;
        best_score = score;
    }
    return best;
}

std::vector<adapter_ref>
mulberry_policy::missing_ready_adapters(worker_view const& worker) const
{
    std::vector<adapter_ref> missing;
    auto const at = ready_placement_.by_worker.find(worker.id);
    if (at == ready_placement_.by_worker.end())
        return missing;
    for (adapter_ref const& adapter : at->second)
        if (worker.find(adapter) == nullptr)
            missing.push_back(adapter);
    return missing;
}

std::vector<adapter_ref> mulberry_policy::preload_by_demand(
    worker_view const& worker, cluster_view const& view, time_point now) const
{
    std::vector<adapter_ref> wanted;
    auto const at = preload_candidates_.find(worker.id);
    auto const least = lowest_retention_value(worker, now);
    if (at == preload_candidates_.end() || !least || view.stalled() > 0)
        return wanted;
    double best = std::max(min_preload_rate, *least * min_preload_gain);
    for (adapter_ref const& adapter : at->second)
    {
        double const rate = demand_.rate(adapter, now);
        if (rate < best || view.holder_count(adapter) > 0)
            continue;
        best = rate;
        wanted.assign(1, adapter);
    }
    return wanted;
}

std::vector<adapter_ref>
mulberry_policy::adapters_to_preload(worker_view const& worker,
                                     cluster_view const& view, time_point now)
{
    std::vector<adapter_ref> wanted = missing_ready_adapters(worker);
    if (wanted.empty())
        wanted = preload_by_demand(worker, view, now);
    return wanted;
}

void mulberry_policy::observe(model_request const& request, time_point now)
{
    demand_.observe(request.adapter, now);
    auto const homes = ring_.homes(request.base_model, request.adapter, 1);
    if (homes.empty())
        return;
    std::set<adapter_ref>& candidates = preload_candidates_[homes.front()];
    candidates.insert(request.adapter);
    if (candidates.size() <= max_preload_candidates)
        return;
    candidates.erase(std::min_element(
        candidates.begin(), candidates.end(),
        [&](adapter_ref const& left, adapter_ref const& right)
        { return demand_.rate(left, now) < demand_.rate(right, now); }));
}

void mulberry_policy::configure(declaration const& configuration)
{
    stall_weight_ = std::clamp(configuration.stall_weight, 0.0, 1.0);
    store_concurrency_ =
        std::max<std::size_t>(configuration.store.loads_at_once, 1);
    load_seconds_ = static_cast<double>(store_concurrency_) /
                    std::max(configuration.store.loads_per_second, 0.01);
    fill_order_.configure(configuration);
    ring_ = worker_ring(configuration);
    demand_.keep_declared(configuration);
    std::erase_if(copy_counts_, [&](auto const& entry)
                  { return configuration.find(entry.first) == nullptr; });
    preload_candidates_.clear();
    ready_placement_ = place_ready(configuration);
    declared_ready_.clear();
    for (auto const& [worker, adapters] : ready_placement_.by_worker)
        declared_ready_[worker].insert(adapters.begin(), adapters.end());
}

} // namespace mulberry
