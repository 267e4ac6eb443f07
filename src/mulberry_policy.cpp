#include "mulberry_policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Limits on the candidates examined for one request, which bound the time of
/// a decision: workers of the base model in each load order (most loaded with a
/// free batch slot, least loaded), holders of the adapter in each of the same
/// orders, and the adapter's homes on the hash ring.
constexpr std::size_t max_workers_per_order = 6;
constexpr std::size_t max_holders_per_order = 4;
constexpr std::size_t max_homes = 2;

/// Assumed time for which an answer occupies a batch slot. An assumption,
/// because the policy sees arrivals but no completions. Converts a queue's
/// length to seconds, for comparison with the delay of a load.
constexpr double assumed_service_seconds = 2.0;

/// Time saved by a prefix cache hit: the prefill of the prompt's prefix.
constexpr double prefix_hit_saving_seconds = 0.2;
/// Time after an eviction within which a new request for the evicted adapter
/// counts as a cost of the eviction.
constexpr double eviction_horizon_seconds = 60;
/// The running requests are packed onto as few workers as can hold them when
/// each worker's batch is filled to a target share. The target falls linearly
/// from max_fill_share at stall weight 0 to min_fill_share at stall weight 1.
/// Using a worker beyond those costs open_worker_cost_seconds; among them the
/// cost rises in fill order from 0 to fill_order_cost_seconds. Both costs are
/// scaled by the stall weight, see opening_cost().
constexpr double max_fill_share = 0.95;
constexpr double min_fill_share = 0.85;
constexpr double open_worker_cost_seconds = 25.0;
constexpr double fill_order_cost_seconds = 0.3;
/// Cost of a worker that cannot load another adapter: all slots hold adapters
/// pinned for a previous owner, or the owner cannot give unload orders. Nothing
/// bounds how long that lasts, and a request sent to the worker would wait
/// until its deadline although other workers have free slots.
constexpr double cannot_load_cost_seconds = 1e6;
/// Extra delay where no resident can be evicted at once, because all are in
/// use, or where the requested adapter itself is being evicted.
constexpr double all_residents_busy_cost_seconds = 0.5;
/// Weight of the weight store's queue in a load's delay. Above 1, because a
/// load also delays the loads that come after it.
constexpr double store_queue_weight = 2.0;
/// Weight of the expected reload of the evicted adapter, relative to the load.
constexpr double victim_loss_weight = 10.0;
/// Weight of a load's delay per store queue length (requests that wait for
/// loads divided by the store's concurrent loads), used where it exceeds the
/// weight given by the stall weight. A saturated store harms both stalls and
/// batch use, since workers stay open for requests that cannot run.
constexpr double store_congestion_weight = 1.0;
/// As store_queue_weight, for each request that waits for a load at the same
/// worker: all workers share the load permits, so that one worker gets few in
/// a row.
constexpr double worker_queue_weight = 2.0;
/// An adapter needs as many copies as keep its requests at or below this share
/// of each copy's batch. A copy beyond those has excess_copy_value times the
/// value of a needed copy.
constexpr double max_batch_share_per_adapter = 0.6;
constexpr double excess_copy_value = 0.02;

/// A waiting request gains one priority step in this time. The aging prevents
/// starvation: a newer request overtakes it only while the difference between
/// the ten priorities and the bonuses below outweigh the difference in age.
constexpr double seconds_per_priority_step = 1.0;
constexpr double same_adapter_bonus = 0.25;
constexpr std::size_t max_same_adapter_count = 8;
constexpr double near_deadline_seconds = 2.0;
constexpr double near_deadline_bonus = 2.0;

/// Preloading: candidates kept for each worker, the least ratio between the
/// demand for a preloaded adapter and the retention value of the evicted one,
/// and the least demand that justifies a load.
constexpr std::size_t max_preload_candidates = 16;
constexpr double min_preload_demand_ratio = 5.0;
constexpr double min_preload_requests_per_second = 0.03;

bool is_evictable(resident_view const& resident)
{
    return resident.state == resident_state::ready && resident.in_flight == 0 &&
           resident.queued == 0 && !resident.pinned_by_previous_owner;
}

/// Expected time until a batch slot is free for one more request.
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
    double value = demand_.rate(adapter, now);
    auto const count = copy_counts_.find(adapter);
    if (count != copy_counts_.end() && count->second > 1)
    {
        auto const copies = static_cast<double>(count->second);
        bool const excess = copies_needed(value, now) <= copies - 1;
        value *= (excess ? excess_copy_value : 1) / copies;
    }
    if (declared_ready(worker.id, adapter))
        value += std::numeric_limits<float>::max();
    return value;
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
    double const store_queue = static_cast<double>(view.stalled()) /
                               static_cast<double>(store_concurrency_);
    double const worker_queue = static_cast<double>(worker.stalled());
    double const wait = load_seconds_ * (1 + store_queue_weight * store_queue +
                                         worker_queue_weight * worker_queue);
    if (!worker.can_accept_adapter())
        return cannot_load_cost_seconds;
    auto const victim_value = lowest_retention_value(worker, now);
    if (!victim_value)
        return wait + all_residents_busy_cost_seconds;
    // Probability that the evicted adapter is requested again within the
    // horizon and has to be loaded again, for Poisson arrivals.
    double const reload_probability =
        1 - std::exp(-*victim_value * eviction_horizon_seconds);
    return wait + victim_loss_weight * reload_probability * load_seconds_;
}

double mulberry_policy::load_weight(cluster_view const& view) const
{
    double const store_queue = static_cast<double>(view.stalled()) /
                               static_cast<double>(store_concurrency_);
    return std::max(2 * stall_weight_, store_congestion_weight * store_queue);
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
    // Added without load_weight(), so that the worker is avoided at stall
    // weight 0 too.
    double const cannot_load_cost =
        stall >= cannot_load_cost_seconds ? cannot_load_cost_seconds : 0;
    return batch_wait_seconds(worker) + load_weight(view) * stall +
           opening_cost(worker) + cannot_load_cost - saved;
}

double mulberry_policy::opening_cost(worker_view const& worker) const
{
    double const share =
        max_fill_share - (max_fill_share - min_fill_share) * stall_weight_;
    double const position = fill_order_.relative_position(worker.id, share);
    // Squared, so that stall weights near 0 and 1 have a clear effect: at 0.8
    // opening a worker costs a sixteenth of the cost at 0.2.
    double const weight = 4 * (1 - stall_weight_) * (1 - stall_weight_);
    if (position < 1)
        return weight * fill_order_cost_seconds * position;
    return weight * open_worker_cost_seconds;
}

std::optional<worker_id> mulberry_policy::choose_worker(
    model_request const& request, cluster_view const& view,
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
    std::size_t const extra = excluded.size();
    for (worker_view const* worker : view.fullest_holders_with_room(
             request.adapter, max_holders_per_order + extra))
        consider(worker);
    for (worker_view const* worker : view.least_loaded_holders(
             request.adapter, max_holders_per_order + extra))
        consider(worker);
    for (worker_id const& home :
         ring_.homes(request.base_model, request.adapter, max_homes))
        consider(view.find(home));
    for (worker_view const* worker : view.fullest_with_room(
             request.base_model, max_workers_per_order + extra))
        consider(worker);
    for (worker_view const* worker :
         view.least_loaded(request.base_model, max_workers_per_order + extra))
        consider(worker);
    if (best == nullptr)
        return std::nullopt;
    return best->id;
}

std::optional<adapter_ref>
mulberry_policy::choose_victim(worker_view const& worker, adapter_ref const&,
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
mulberry_policy::choose_next(worker_view const&,
                             std::vector<waiting_request> const& eligible,
                             time_point now)
{
    std::unordered_map<adapter_ref, std::size_t> group_sizes;
    for (waiting_request const& request : eligible)
        ++group_sizes[request.adapter];
    std::size_t best = 0;
    double best_score = -std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < eligible.size(); ++i)
    {
        waiting_request const& request = eligible[i];
        double score = request.priority;
        score +=
            seconds(now - request.arrived).count() / seconds_per_priority_step;
        score += same_adapter_bonus *
                 static_cast<double>(std::min(group_sizes[request.adapter],
                                              max_same_adapter_count));
        if (request.deadline != never &&
            seconds(request.deadline - now).count() < near_deadline_seconds)
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
    double best = std::max(min_preload_requests_per_second,
                           *least * min_preload_demand_ratio);
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
