// Assumed state of workers, and estimates of when a request would start at a
// worker; see service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Added to the prefill backlog in the queueing delay, in proportion to the use
/// of the batch: this much for a full batch, whose steps take longer.
constexpr milliseconds full_batch_delay{100};
/// Traffic between failure domains costs time and money. A worker in another
/// domain is used only if local workers would start the request later by more
/// than this.
constexpr milliseconds other_domain_penalty{40};
/// Upper bound of the time until a request starts, as a multiple of the known
/// prefill backlog. The backlog from other VMs is known from stale data only.
constexpr int prefill_time_factor = 2;
/// A worker is an outlier if its failure share exceeds the service's average by
/// this margin and by this factor. Comparing with the average keeps all workers
/// in use when the service fails as a whole; avoiding some would only fetch
/// adapters again elsewhere.
constexpr double outlier_failure_margin = 0.2;
constexpr double outlier_failure_factor = 2;
/// A VM that does not own a worker may use one part in this many of the
/// worker's batch.
constexpr std::size_t non_owner_batch_divisor = 4;
/// A worker is overloaded if it has this many times the average number of
/// requests and more than a few. Prefill runs one prompt at a time, so that the
/// first token waits for all earlier prompts long before the batch is full.
/// Second copies of adapters are loaded elsewhere then.
constexpr double overload_factor = 1.5;
constexpr double overload_min_requests = 4;
/// A worker with a larger prefill backlog is overloaded too: a fetch elsewhere
/// takes less time.
constexpr milliseconds overload_prefill_time{300};
/// Cost of a fetch to other requests: one of the fetches that run at full speed
/// and an adapter slot.
constexpr milliseconds fetch_cost{100};
/// Penalty for an answer that starts after its service-level objective. Such an
/// answer is worth only a third to the caller, so a fetch that avoids the delay
/// is worth its cost.
constexpr milliseconds lateness_cost{500};
/// The holder of a shared prefix saves on average one part in this many of its
/// prefill time, since the prefix may have been evicted from the cache. A
/// divisor of 1 concentrates requests on busy holders and lowered the mean
/// worth of answers from 0.479 to 0.470 over 20 days.
constexpr int prefix_saving_divisor = 2;
/// A worker whose batch is used to this share is overloaded whatever the
/// average. Only this criterion counts for an adapter that is rarely requested:
/// it adds little load, and a second copy costs a fetch.
constexpr double overload_batch_share = 0.75;
/// An adapter with this request rate is worth a second copy when the worker of
/// the first is busy: at one request in three seconds the copy is used before
/// it is evicted.
constexpr double hot_requests_per_second = 0.3;

memory_need need_of(work_item const& item)
{
    return expected_need(item.target, item.prompt_tokens, item.answer_tokens,
                         item.prefix);
}

} // namespace

std::size_t service_scheduler::request_limit(worker_state const& worker) const
{
    std::size_t const slots = worker.entry.slots;
    if (!config_.engine || worker.owned)
        return slots;
    return std::max<std::size_t>(1, slots / non_owner_batch_divisor);
}

std::size_t
service_scheduler::outstanding_requests(worker_state const& worker) const
{
    return worker.health.outstanding() + worker.granted;
}

worker_room service_scheduler::room_of(worker_state const& worker) const
{
    return {worker.entry.id, worker.entry.slots, outstanding_requests(worker),
            worker.owned};
}

bool service_scheduler::has_memory(worker_state const& worker,
                                   work_item const& item) const
{
    return !by_objective_ || !worker.owned || !config_.engine ||
           config_.engine->memory_tokens == 0 ||
           memory_.fits(worker.entry.id, need_of(item),
                        config_.engine->memory_tokens);
}

/// Requests at other owners' workers are counted too, since this VM may become
/// the owner before they end.
void service_scheduler::reserve_memory(worker_state const& worker,
                                       work_item const& item)
{
    if (by_objective_ && config_.engine)
        memory_.reserve(worker.entry.id, item.ticket, need_of(item));
}

/// Guards against starvation: otherwise smaller requests that arrive later
/// would take all memory that becomes free.
void service_scheduler::claim_memory(worker_state const& worker,
                                     work_item const& item, time_point now)
{
    if (!has_memory(worker, item) && has_usable_copy(worker, *item.target, now))
        memory_.claim(worker.entry.id, need_of(item));
}

std::size_t service_scheduler::occupied_slots(worker_state const& worker,
                                              work_item const& item) const
{
    std::size_t const outstanding = outstanding_requests(worker);
    return has_memory(worker, item)
               ? outstanding
               : std::max(outstanding, request_limit(worker));
}

double service_scheduler::batch_utilization(worker_state const& worker) const
{
    return double(outstanding_requests(worker)) / double(worker.entry.slots);
}

duration service_scheduler::queueing_delay(worker_state const& worker,
                                           time_point now) const
{
    return worker.backlog.ahead(now) +
           duration(static_cast<duration::rep>(
               batch_utilization(worker) *
               double(duration(full_batch_delay).count())));
}

duration
service_scheduler::cross_domain_penalty(worker_state const& worker) const
{
    return worker.entry.domain == settings_.domain
               ? duration(0)
               : duration(other_domain_penalty);
}

bool service_scheduler::is_excluded(worker_state const& worker,
                                    work_item const& item)
{
    return item.excluded.count(worker.entry.id) > 0 ||
           (item.software && item.software->count(worker.entry.software) == 0);
}

bool service_scheduler::accepts_request(worker_state const& worker,
                                        work_item const& item,
                                        time_point now) const
{
    if (worker.entry.draining || is_excluded(worker, item) ||
        (worker.reserved && !item.continues_stream) ||
        is_paused_for(worker, item, now) || worker.health.is_full(now) ||
        occupied_slots(worker, item) >= request_limit(worker) ||
        !rejections_.may_send(room_of(worker), now))
        return false;
    return !worker.health.is_avoided(now) || worker.health.may_probe(now);
}

bool service_scheduler::can_run_now(worker_state const& worker,
                                    work_item const& item, time_point now) const
{
    return worker.owned && accepts_request(worker, item, now) &&
           !is_failure_outlier(worker, now) &&
           has_usable_copy(worker, *item.target, now);
}

bool service_scheduler::is_failure_outlier(worker_state const& worker,
                                           time_point now) const
{
    double const share = worker.health.failure_share(now);
    if (share <= outlier_failure_margin)
        return false;
    double sum = 0;
    for (auto const& [id, each] : workers_)
        sum += each->health.failure_share(now);
    double const average = sum / double(workers_.size());
    return share > average + outlier_failure_margin &&
           share > outlier_failure_factor * average;
}

duration service_scheduler::weights_load_time(base_model_id const& model) const
{
    if (config_.engine)
        for (base_model const& each : config_.engine->models)
            if (each.name == model)
                return each.load_time;
    return duration(0);
}

bool service_scheduler::shares_address(worker_state const& worker) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&worker](auto const& each)
                       {
                           backend_entry const& other = each.second->entry;
                           return other.id != worker.entry.id &&
                                  other.address == worker.entry.address &&
                                  other.port == worker.entry.port;
                       });
}

double service_scheduler::mean_outstanding_requests() const
{
    double sum = 0;
    double known = 0;
    for (auto const& [id, worker] : workers_)
    {
        if (worker->entry.draining || !worker->owned)
            continue;
        sum += batch_utilization(*worker) * double(worker->entry.slots);
        known += 1;
    }
    return known == 0 ? 0 : sum / known;
}

bool service_scheduler::is_overloaded(worker_state const& worker,
                                      bool frequently_requested,
                                      time_point now) const
{
    double const load = batch_utilization(worker);
    double const requests = load * double(worker.entry.slots);
    if (load >= overload_batch_share)
        return true;
    if (worker.backlog.ahead(now) > overload_prefill_time)
        return frequently_requested;
    return frequently_requested && requests > overload_min_requests &&
           requests > overload_factor * mean_outstanding_requests() + 1;
}

/// Whether the worker has the model or a copy of the adapter that a request may
/// use. A superseded copy is usable only during the grace period, while the new
/// version is loaded. The grace period must last until the request starts,
/// after the prefill of earlier prompts; otherwise the request would get an
/// answer of the wrong version after the bound.
bool service_scheduler::has_usable_copy(worker_state const& worker,
                                        model_target const& target,
                                        time_point now) const
{
    if (worker.owned && worker.adapters.is_state_known())
    {
        if (target.adapter.empty())
            return worker.adapters.has_model(target.model);
        if (worker.adapters.stage(target) != adapter_stage::resident)
            return false;
        return worker.adapters.version(target) >=
               version_history_.oldest_allowed(target,
                                               now + worker.backlog.ahead(now) *
                                                         prefill_time_factor);
    }
    for (held_model const& held : worker.entry.models)
    {
        if (held.model != target.model)
            continue;
        if (target.adapter.empty())
            return true;
        auto const copy = held.adapters.find(target.adapter);
        return copy != held.adapters.end() &&
               copy->second >= newest_version(target);
    }
    return false;
}

/// Whether the adapter is resident or being loaded at the worker. Recent
/// locations on other VMs' workers count too: when more adapters are in use
/// than their homes have slots, some are loaded away from home, and a second
/// request at the home would fetch the adapter again and use a second slot.
bool service_scheduler::has_or_loads_adapter(worker_state const& worker,
                                             model_target const& target,
                                             time_point now) const
{
    if (worker.owned && worker.adapters.is_state_known())
        return worker.adapters.stage(target).has_value();
    if (adapter_locations_.is_at(target, worker.entry.id, now))
        return true;
    return has_usable_copy(worker, target, now);
}

/// On average a slot becomes free after the mean service time divided by the
/// number of slots.
duration service_scheduler::slot_wait(std::size_t ahead,
                                      std::size_t slots) const
{
    return mean_service_time_ * ahead / std::max<std::size_t>(slots, 1);
}

duration service_scheduler::slot_delay(worker_state const& worker) const
{
    if (!worker.owned || !config_.engine ||
        worker.adapters.has_available_slot())
        return duration(0);
    return slot_wait(worker.queued + 1, config_.engine->adapter_slots);
}

duration service_scheduler::load_delay(worker_state const& worker,
                                       model_target const& target) const
{
    return slot_delay(worker) + worker.adapters.load_time(target);
}

/// An overdue load is assumed to need as much more time as it is late, since
/// its end cannot be predicted while many adapters are fetched at once.
duration service_scheduler::remaining_load_time(worker_state const& worker,
                                                model_target const& target,
                                                time_point now) const
{
    time_point const due = worker.adapters.load_expected_at(target);
    return due > now ? due - now : now - due;
}

duration service_scheduler::placement_cost(worker_state const& worker,
                                           work_item const& item,
                                           worker_state const* prefix_home,
                                           time_point now) const
{
    model_target const& target = *item.target;
    duration delay = queueing_delay(worker, now);
    duration cost{};
    if (!has_or_loads_adapter(worker, target, now))
    {
        delay = std::max(delay, load_delay(worker, target));
        if (!worker.adapters.was_recently_resident(target))
            cost += fetch_cost;
    }
    else if (worker.owned && worker.adapters.load_expected_at(target) != never)
        delay = std::max(delay, remaining_load_time(worker, target, now));
    if (now + delay + prefill_rate_.prefill_time(item.prompt_tokens) >
        item.objective_at)
        cost += lateness_cost;
    delay += cost;
    delay += cross_domain_penalty(worker);
    if (&worker == prefix_home)
        delay -= prefill_rate_.prefill_time(item.prefix.tokens) /
                 prefix_saving_divisor;
    return delay;
}

bool service_scheduler::is_hot(model_target const& target, time_point now) const
{
    return demand_.rate(demand_key(target), now) >= hot_requests_per_second;
}

bool service_scheduler::has_reachable_owner(worker_state const& worker,
                                            time_point now) const
{
    auto const owner = owners_.find(worker.entry.id);
    if (owner == owners_.end())
        return false;
    auto const peer = peers_.find(owner->second);
    return peer == peers_.end() || !peer->second.is_avoided(now) ||
           peer->second.may_probe(now);
}

bool service_scheduler::owner_refused(worker_id const& worker,
                                      waiting_item const& waiting,
                                      time_point now) const
{
    auto const owner = owners_.find(worker);
    if (owner == owners_.end())
        return false;
    auto const refusal = waiting.refused_until.find(owner->second);
    return refusal != waiting.refused_until.end() && now < refusal->second;
}

} // namespace mulberry
