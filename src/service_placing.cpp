// Where the requests of a service are placed; see service_scheduler.hpp.
#include "placement.hpp"
#include "service_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Added to a worker's load, in shares of its batch, when one is chosen.
/// Bytes between failure domains cost time and money, so a worker elsewhere is
/// used when those here are fuller by as much.
constexpr double other_domain_penalty = 0.4;
/// Another VM gives that worker its orders and fills it; what it holds is
/// known from its last heartbeat only.
constexpr double other_owner_penalty = 0.3;
/// Twice a whole batch: a worker that fails is used when there is no other.
constexpr double sick_penalty = 2.0;
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
/// Whatever the average, a batch that is so full is crowded. This alone counts
/// for an adapter that is seldom asked for: it adds little to the crowd, and a
/// second home costs a fetch.
constexpr double crowded_share = 0.75;
/// An adapter that callers of this VM ask for so often has a home in the VM's
/// own failure domain; a rarer one has one home for all domains. A copy more
/// costs a fetch from the weight store and later ones; a request that crosses
/// domains costs its few kilobytes there. At a rate of one in three seconds
/// the bytes outweigh the fetch within some ten seconds.
constexpr double local_home_rate = 0.3;
/// After so many owners said no, a request is served by whatever is here.
constexpr std::size_t most_refusals = 4;
/// A home whose slots are all in use is waited for while one is expected to be
/// free within this: a fetch elsewhere takes about as long, and keeps others
/// from theirs.
constexpr milliseconds longest_slot_wait{250};
/// However soon a slot was expected, a home is waited for no longer.
constexpr milliseconds busy_home_wait{700};

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

double service_scheduler::load_of(worker_state const& worker,
                                  time_point now) const
{
    double const known = double(taken(worker)) / double(worker.entry.slots);
    return now < worker.told_until ? std::max(known, worker.told_load) : known;
}

bool service_scheduler::usable(worker_state const& worker,
                               work_item const& item, time_point now) const
{
    if (worker.entry.draining || item.excluded.count(worker.entry.id) > 0 ||
        worker.health.full(now) || taken(worker) >= limit_of(worker))
        return false;
    return !worker.health.avoided(now) || worker.health.may_probe(now);
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

adapter_version service_scheduler::newest_of(model_target const& target) const
{
    auto const known = releases_.find(target);
    return known == releases_.end() ? adapter_version() : known->second.version;
}

bool service_scheduler::past_grace(model_target const& target,
                                   time_point now) const
{
    auto const known = releases_.find(target);
    return known != releases_.end() &&
           now >= known->second.heard_at + settings_.release_grace;
}

/// Failure: a copy is believed to be newer than it is, after orders whose
/// answers were lost or came late, and a request begins on the old version long
/// after the new one was declared. Whatever is believed here, the worker
/// compares the version itself and refuses a request that names another.
adapter_version
service_scheduler::required_version(worker_state const& worker,
                                    std::optional<model_target> const& target,
                                    time_point now) const
{
    if (!target || !past_grace(*target, now))
        return {};
    return std::max(newest_of(*target), worker.adapters.version(*target));
}

double service_scheduler::average_taken(time_point now) const
{
    double sum = 0;
    double known = 0;
    for (auto const& [id, worker] : workers_)
    {
        if (worker->entry.draining ||
            (!worker->owned && now >= worker->told_until))
            continue;
        sum += load_of(*worker, now) * double(worker->entry.slots);
        known += 1;
    }
    return known == 0 ? 0 : sum / known;
}

bool service_scheduler::crowded(worker_state const& worker, bool popular,
                                time_point now) const
{
    double const load = load_of(worker, now);
    double const requests = load * double(worker.entry.slots);
    return load >= crowded_share ||
           (popular && requests > few_requests &&
            requests > crowded_multiple * average_taken(now) + 1);
}

/// Failure: a version is declared while a copy of the one before is in use; a
/// request that begins on the old copy after the bound gets an answer of the
/// wrong version. An old copy is used for the grace only, and only while the
/// new one is being loaded; the grace has to last until the request begins,
/// after the prompts that are ahead of it.
bool service_scheduler::holds(worker_state const& worker,
                              model_target const& target, time_point now) const
{
    if (worker.owned && worker.adapters.known())
    {
        if (target.adapter.empty())
            return worker.adapters.has_model(target.model);
        if (worker.adapters.stage(target) != adapter_stage::resident)
            return false;
        return !worker.adapters.outdated(target) ||
               !past_grace(target, now + reading_ahead(worker, now));
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

service_scheduler::worker_state*
service_scheduler::best_holder(waiting_item const& waiting, time_point now)
{
    work_item const& item = waiting.item;
    worker_state* best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto& [id, worker] : workers_)
    {
        if (!usable(*worker, item, now))
            continue;
        if (item.target && !holds(*worker, *item.target, now))
            continue;
        double score = load_of(*worker, now);
        if (worker->entry.domain != settings_.domain)
            score += other_domain_penalty;
        if (config_.engine && !worker->owned)
            score += other_owner_penalty;
        if (worker->health.avoided(now) || sick(*worker, now))
            score += sick_penalty;
        if (item.target && worker->adapters.outdated(*item.target))
            score += sick_penalty;
        if (score >= least)
            continue;
        least = score;
        best = worker.get();
    }
    return best;
}

/// Each slot is free again after the rest of a request: on average one of them
/// after a mean request's time over their number.
duration service_scheduler::slot_wait(std::size_t ahead,
                                      std::size_t slots) const
{
    return mean_service_ * ahead / std::max<std::size_t>(slots, 1);
}

/// Load it answers: many rare adapters at once, more of them at some homes than
/// those have slots for, or one adapter that more ask for than a batch holds.
/// Homes are chosen by hash, so a few have queues of seconds while others have
/// room to spare; a short queue is waited for.
bool service_scheduler::worth_waiting(worker_state const& worker,
                                      work_item const& item,
                                      time_point now) const
{
    if (worker.adapters.leaves_orders_unanswered() &&
        !holds(worker, *item.target, now))
        return false;
    std::size_t const slots = limit_of(worker);
    std::size_t const with_this = taken(worker) + worker.queued + 1;
    if (with_this > slots &&
        slot_wait(with_this - slots, slots) > longest_slot_wait)
        return false;
    return worker.adapters.can_take(*item.target) ||
           (now < item.arrived_at + busy_home_wait &&
            slot_wait(worker.queued + 1, config_.engine->adapter_slots) <=
                longest_slot_wait);
}

bool service_scheduler::may_load_at(worker_state const& worker,
                                    waiting_item const& waiting,
                                    time_point now) const
{
    worker_id const& id = worker.entry.id;
    if (worker.entry.draining || waiting.item.excluded.count(id) > 0 ||
        waiting.said_no.count(id) > 0 || worker.health.avoided(now) ||
        sick(worker, now))
        return false;
    if (worker.owned)
        return worker.adapters.may_order(now) &&
               worker.adapters.has_model(waiting.item.target->model) &&
               worth_waiting(worker, waiting.item, now);
    auto const owner = owners_.find(id);
    if (owner == owners_.end())
        return false;
    auto const peer = peers_.find(owner->second);
    return peer == peers_.end() || !peer->second.avoided(now) ||
           peer->second.may_probe(now);
}

bool service_scheduler::popular(model_target const& target,
                                time_point now) const
{
    return own_demand_.rate(demand_key(target), now) >= local_home_rate;
}

bool service_scheduler::hot(model_target const& target, time_point now) const
{
    return demand_.rate(demand_key(target), now) >= local_home_rate;
}

/// The home of the adapter by rendezvous hashing, the same on every VM that
/// sees the same workers, so that the adapter is fetched once and comes back
/// to where copies of it are kept; the next one when the home is crowded or
/// cannot be reached.
service_scheduler::worker_state*
service_scheduler::home_of(waiting_item const& waiting, bool own_only,
                           worker_state const* except, time_point now)
{
    model_target const& target = *waiting.item.target;
    bool const local = popular(target, now);
    worker_state* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> highest{};
    for (auto& [id, worker] : workers_)
    {
        if (worker.get() == except || (own_only && !worker->owned) ||
            !may_load_at(*worker, waiting, now))
            continue;
        std::tuple<bool, bool, std::uint64_t> const rank{
            !crowded(*worker, local, now),
            local && worker->entry.domain == settings_.domain,
            stable_hash(target.adapter.str() + "@" + id.str())};
        if (best != nullptr && rank <= highest)
            continue;
        highest = rank;
        best = worker.get();
    }
    return best;
}

void service_scheduler::place(waiting_item& waiting, worker_state& on,
                              time_point now)
{
    work_item const& item = waiting.item;
    bool const loaded = !waiting.loads_at.empty();
    if (on.health.avoided(now))
        on.health.probed(now);
    sent_item sent;
    sent.worker = on.entry.id;
    sent.sent_at = now;
    sent.target = item.target;
    if (item.target && !item.target->adapter.empty() && on.owned)
    {
        on.adapters.begin_use(*item.target);
        sent.counted_use = true;
    }
    if (item.asked_for)
    {
        sent.by_peer = true;
        ++on.granted;
        ++counts_.granted;
        add_reading(on, item.prompt_tokens, now);
        actions_.push_back(
            grant_ask{item.ticket, on.entry.id, load_of(on, now)});
        sent_.emplace(item.ticket, std::move(sent));
        return;
    }
    ++(on.owned ? loaded ? counts_.placed_after_load : counts_.placed_resident
                : counts_.placed_elsewhere);
    actions_.push_back(
        place_request{item.ticket, on.entry.id, on.entry,
                      on.owned ? loaded ? "loaded" : "resident" : "listed",
                      required_version(on, item.target, now)});
    note_send(on, item, std::move(sent), now);
}

service_scheduler::verdict service_scheduler::decide(waiting_item& waiting,
                                                     queue_key const& key,
                                                     time_point now)
{
    if (waiting.item.asked_for)
        return decide_asked(waiting, now);
    if (waiting.item.target && !waiting.item.target->adapter.empty())
        return decide_adapter(waiting, key, now);
    if (worker_state* const holder = best_holder(waiting, now))
    {
        place(waiting, *holder, now);
        return verdict::placed;
    }
    bool const all_tried =
        std::all_of(workers_.begin(), workers_.end(),
                    [&waiting](auto const& each)
                    {
                        return each.second->entry.draining ||
                               waiting.item.excluded.count(each.first) > 0;
                    });
    return all_tried ? verdict::hopeless : verdict::waits;
}

/// Another VM's request for one worker of this one's.
service_scheduler::verdict
service_scheduler::decide_asked(waiting_item& waiting, time_point now)
{
    worker_state* const worker = find(*waiting.item.asked_for);
    if (worker == nullptr || !worker->owned || worker->entry.draining ||
        (worker->health.avoided(now) && !worker->health.may_probe(now)) ||
        sick(*worker, now))
        return verdict::hopeless;
    model_target const& target = *waiting.item.target;
    if (worker_state* const holder = own_holder(waiting, now))
    {
        spread_load(*holder, waiting, now);
        place(waiting, *holder, now);
        leave_wait(waiting);
        return verdict::placed;
    }
    if (!worth_waiting(*worker, waiting.item, now))
        return verdict::hopeless;
    if (holds(*worker, target, now) ||
        (!waiting.loads_at.empty() && worker->adapters.stage(target)))
    {
        ++worker->queued;
        return verdict::waits;
    }
    leave_wait(waiting);
    return worker->adapters.may_order(now) && worker->adapters.synced()
               ? wait_at(waiting, *worker, now)
               : verdict::hopeless;
}

service_scheduler::verdict service_scheduler::wait_at(waiting_item& waiting,
                                                      worker_state& worker,
                                                      time_point now)
{
    ++worker.queued;
    if (!worker.adapters.can_take(*waiting.item.target))
        return verdict::waits;
    worker.adapters.want(*waiting.item.target, newest_of(*waiting.item.target),
                         now);
    worker.adapters.begin_wait(*waiting.item.target);
    waiting.loads_at = worker.entry.id;
    return verdict::waits;
}

/// Load it answers: an adapter grows hot, or its new version must replace a
/// copy in use. A second copy is loaded beside the crowded or outdated one
/// while that still serves, so that nobody waits for it.
void service_scheduler::spread_load(worker_state const& busy,
                                    waiting_item const& waiting, time_point now)
{
    model_target const& target = *waiting.item.target;
    bool const outdated = busy.adapters.outdated(target);
    bool const often = hot(target, now);
    if (!crowded(busy, often, now) && !outdated)
        return;
    for (auto const& [id, worker] : workers_)
        if (worker.get() != &busy && worker->owned &&
            worker->adapters.stage(target) &&
            !worker->adapters.outdated(target))
            return;
    worker_state* const other = home_of(waiting, true, &busy, now);
    if (other == nullptr || !other->adapters.can_take(target) ||
        (!outdated && crowded(*other, often, now)))
        return;
    other->adapters.want(target, newest_of(target), now);
}

/// A worker of this VM that has the adapter and room: one with the newest
/// version first, then the emptiest.
service_scheduler::worker_state*
service_scheduler::own_holder(waiting_item const& waiting, time_point now)
{
    model_target const& target = *waiting.item.target;
    worker_state* best = nullptr;
    std::pair<bool, double> least;
    for (auto& [id, worker] : workers_)
    {
        if (!worker->owned || !usable(*worker, waiting.item, now) ||
            sick(*worker, now) || !holds(*worker, target, now))
            continue;
        std::pair<bool, double> const cost{worker->adapters.outdated(target),
                                           load_of(*worker, now)};
        if (best != nullptr && cost >= least)
            continue;
        best = worker.get();
        least = cost;
    }
    return best;
}

/// Whether a request still waits for its adapter at that worker.
bool service_scheduler::goes_on_waiting(worker_state const& worker,
                                        waiting_item const& waiting,
                                        time_point now) const
{
    return worker.adapters.stage(*waiting.item.target) &&
           !worker.entry.draining && !worker.health.avoided(now) &&
           !sick(worker, now) && worth_waiting(worker, waiting.item, now);
}

service_scheduler::verdict
service_scheduler::decide_adapter(waiting_item& waiting, queue_key const& key,
                                  time_point now)
{
    model_target const& target = *waiting.item.target;
    if (worker_state* const holder = own_holder(waiting, now))
    {
        spread_load(*holder, waiting, now);
        place(waiting, *holder, now);
        leave_wait(waiting);
        return verdict::placed;
    }
    if (!waiting.loads_at.empty())
    {
        worker_state* const loading = find(waiting.loads_at);
        if (loading != nullptr && goes_on_waiting(*loading, waiting, now))
        {
            ++loading->queued;
            return verdict::waits;
        }
        leave_wait(waiting);
    }
    bool const tired = waiting.said_no.size() >= most_refusals;
    worker_state* const home = home_of(waiting, tired, nullptr, now);
    if (home != nullptr && home->owned)
        return wait_at(waiting, *home, now);
    if (home != nullptr)
    {
        ask(waiting, key, *home, now);
        return verdict::asked;
    }
    // Nobody can be asked and nothing loaded: whoever lists the adapter.
    if (worker_state* const holder = best_holder(waiting, now))
    {
        place(waiting, *holder, now);
        return verdict::placed;
    }
    bool const own_may_later =
        std::any_of(workers_.begin(), workers_.end(),
                    [&](auto const& each)
                    {
                        return each.second->owned &&
                               !each.second->entry.draining &&
                               each.second->adapters.may_order(now) &&
                               !each.second->health.avoided(now) &&
                               waiting.item.excluded.count(each.first) == 0;
                    });
    return own_may_later ? verdict::waits : verdict::hopeless;
}

void service_scheduler::ask(waiting_item& waiting, queue_key const& key,
                            worker_state& worker, time_point now)
{
    work_item const& item = waiting.item;
    vm_id const owner = owners_.at(worker.entry.id);
    worker_health& peer = peers_[owner];
    if (peer.avoided(now))
        peer.probed(now);
    peer.sent(now);
    actions_.push_back(ask_owner{item.ticket, owner, worker.entry.id,
                                 *item.target, item.priority, item.give_up_at,
                                 item.excluded, item.prompt_tokens});
    asked_.insert_or_assign(
        item.ticket, asked_item{waiting, key, owner, worker.entry.id, now});
}

} // namespace mulberry
