// What is known of workers, and when a request would begin at one; see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A worker is chosen by the time until a request would begin there: the
/// prompts that it has yet to read, and this for a batch in use as a whole,
/// whose steps take longer.
constexpr milliseconds full_batch_delay{100};
/// Bytes between failure domains cost time and money, so a worker elsewhere is
/// used when those here are later by as much.
constexpr milliseconds other_domain_penalty{40};
/// A request begins after what is ahead of it was read, at the latest after so
/// many times as long: other VMs' prompts are known from a while ago.
constexpr int begin_slack = 2;
/// A worker fails too much when it does so for so much more of its answers
/// than the average worker of the service, and for so many times as many. A
/// fault of the service as a whole is no reason to leave any worker: adapters
/// would be fetched anew elsewhere, for nothing.
constexpr double sick_margin = 0.2;
constexpr double sick_multiple = 2;
/// The share of a batch that a VM may fill at a worker that another VM fills.
constexpr std::size_t foreign_share = 4;
/// A worker is crowded when it has so many times as many requests as the
/// average one, and more than a few: prompts are read one after the other, so
/// that a first token waits for all of those before it long before the batch
/// is full. Then other homes are used and second copies loaded.
constexpr double crowded_multiple = 1.5;
constexpr double few_requests = 4;
/// A worker with so much to read is crowded too: a fetch elsewhere takes less.
constexpr milliseconds longest_queue{300};
/// What a fetch takes from other requests: a place among those that are sent
/// at full speed, and an adapter slot.
constexpr milliseconds fetch_cost{100};
/// An answer that begins after its objective is worth a third to its caller; a
/// fetch that saves it from that is worth its cost.
constexpr milliseconds lateness_cost{500};
/// Of the time that a shared beginning takes to be read, this part is saved by
/// its holder on average: it may have made way since. Counting all of it
/// gathers requests at busy holders (mean worth 0.470 for 0.479, 20 days).
constexpr int prefix_divisor = 2;
/// Whatever the average, a batch that is so full is crowded. This alone counts
/// for an adapter that is seldom asked for: it adds little to the crowd, and a
/// second home costs a fetch.
constexpr double crowded_share = 0.75;
/// An adapter that is asked for so often a second is worth a second copy when
/// the first is busy: at one in three seconds the copy is used before it has to
/// make way.
constexpr double hot_rate = 0.3;

} // namespace

std::size_t service_scheduler::limit_of(worker_state const& worker) const
{
    std::size_t const slots = worker.entry.slots;
    if (!config_.engine || worker.owned)
        return slots;
    return std::max<std::size_t>(1, slots / foreign_share);
}

std::size_t service_scheduler::taken(worker_state const& worker) const
{
    return worker.health.outstanding() + worker.granted;
}

double service_scheduler::load_of(worker_state const& worker) const
{
    return double(taken(worker)) / double(worker.entry.slots);
}

duration service_scheduler::queue_delay(worker_state const& worker,
                                        time_point now) const
{
    return worker.reading.ahead(now) +
           duration(static_cast<duration::rep>(
               load_of(worker) * double(duration(full_batch_delay).count())));
}

duration service_scheduler::domain_delay(worker_state const& worker) const
{
    return worker.entry.domain == settings_.domain
               ? duration(0)
               : duration(other_domain_penalty);
}

bool service_scheduler::usable(worker_state const& worker,
                               work_item const& item, time_point now) const
{
    if (worker.entry.draining || item.excluded.count(worker.entry.id) > 0 ||
        rests_for(worker, item, now) || worker.health.is_full(now) ||
        taken(worker) >= limit_of(worker))
        return false;
    return !worker.health.is_avoided(now) || worker.health.may_probe(now);
}

bool service_scheduler::ready_at(worker_state const& worker,
                                 work_item const& item, time_point now) const
{
    return worker.owned && usable(worker, item, now) && !sick(worker, now) &&
           holds(worker, *item.target, now);
}

bool service_scheduler::sick(worker_state const& worker, time_point now) const
{
    double const share = worker.health.failure_share(now);
    if (share <= sick_margin)
        return false;
    double sum = 0;
    for (auto const& [id, each] : workers_)
        sum += each->health.failure_share(now);
    double const average = sum / double(workers_.size());
    return share > average + sick_margin && share > sick_multiple * average;
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

double service_scheduler::average_taken() const
{
    double sum = 0;
    double known = 0;
    for (auto const& [id, worker] : workers_)
    {
        if (worker->entry.draining || !worker->owned)
            continue;
        sum += load_of(*worker) * double(worker->entry.slots);
        known += 1;
    }
    return known == 0 ? 0 : sum / known;
}

bool service_scheduler::crowded(worker_state const& worker, bool asked_often,
                                time_point now) const
{
    double const load = load_of(worker);
    double const requests = load * double(worker.entry.slots);
    if (load >= crowded_share)
        return true;
    if (worker.reading.ahead(now) > longest_queue)
        return asked_often;
    return asked_often && requests > few_requests &&
           requests > crowded_multiple * average_taken() + 1;
}

/// Failure: a version is declared while a copy of the one before is in use; a
/// request that begins on the old copy after the bound gets an answer of the
/// wrong version. An old copy is used for the grace only, and only while the
/// new one is being loaded; the grace has to last until the request begins,
/// after the prompts that are ahead of it.
bool service_scheduler::holds(worker_state const& worker,
                              model_target const& target, time_point now) const
{
    if (worker.owned && worker.adapters.is_state_known())
    {
        if (target.adapter.empty())
            return worker.adapters.has_model(target.model);
        if (worker.adapters.stage(target) != adapter_stage::resident)
            return false;
        return worker.adapters.version(target) >=
               releases_.oldest_allowed(
                   target, now + worker.reading.ahead(now) * begin_slack);
    }
    for (held_model const& held : worker.entry.models)
    {
        if (held.model != target.model)
            continue;
        if (target.adapter.empty())
            return true;
        auto const copy = held.adapters.find(target.adapter);
        return copy != held.adapters.end() && copy->second >= newest_of(target);
    }
    return false;
}

/// Load it answers: more adapters in use at once than their homes have slots
/// for. Some are loaded away from home then; asked for at home again, each
/// would be fetched once more and take a second slot.
bool service_scheduler::known_at(worker_state const& worker,
                                 model_target const& target,
                                 time_point now) const
{
    if (worker.owned && worker.adapters.is_state_known())
        return worker.adapters.stage(target).has_value();
    if (sightings_.is_at(target, worker.entry.id, now))
        return true;
    return holds(worker, target, now);
}

/// Each slot is free again after the rest of a request: on average one of them
/// after a mean request's time over their number.
duration service_scheduler::slot_wait(std::size_t ahead,
                                      std::size_t slots) const
{
    return mean_service_ * ahead / std::max<std::size_t>(slots, 1);
}

duration service_scheduler::slot_delay(worker_state const& worker) const
{
    if (!worker.owned || !config_.engine || worker.adapters.has_available_slot())
        return duration(0);
    return slot_wait(worker.queued + 1, config_.engine->adapter_slots);
}

duration service_scheduler::load_delay(worker_state const& worker,
                                       model_target const& target) const
{
    return slot_delay(worker) + worker.adapters.load_time(target);
}

/// A load that is overdue is taken to need as long again as it is late: while
/// many are fetched at once nothing is known of when it ends.
duration service_scheduler::load_left(worker_state const& worker,
                                      model_target const& target,
                                      time_point now) const
{
    time_point const due = worker.adapters.load_expected_at(target);
    return due > now ? due - now : now - due;
}

duration service_scheduler::begin_delay(worker_state const& worker,
                                        work_item const& item,
                                        worker_state const* prefix_home,
                                        time_point now) const
{
    model_target const& target = *item.target;
    duration delay = queue_delay(worker, now);
    duration cost{};
    if (!known_at(worker, target, now))
    {
        delay = std::max(delay, load_delay(worker, target));
        if (!worker.adapters.was_recently_resident(target))
            cost += fetch_cost;
    }
    else if (worker.owned && worker.adapters.load_expected_at(target) != never)
        delay = std::max(delay, load_left(worker, target, now));
    if (now + delay + pace_.prefill_time(item.prompt_tokens) > item.objective_at)
        cost += lateness_cost;
    delay += cost;
    delay += domain_delay(worker);
    if (&worker == prefix_home)
        delay -= pace_.prefill_time(item.prefix.tokens) / prefix_divisor;
    return delay;
}

bool service_scheduler::hot(model_target const& target, time_point now) const
{
    return demand_.rate(demand_key(target), now) >= hot_rate;
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

bool service_scheduler::refused_by(worker_id const& worker,
                                   waiting_item const& waiting,
                                   time_point now) const
{
    auto const owner = owners_.find(worker);
    if (owner == owners_.end())
        return false;
    auto const refusal = waiting.said_no.find(owner->second);
    return refusal != waiting.said_no.end() && now < refusal->second;
}

} // namespace mulberry
