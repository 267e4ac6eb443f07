// Placement of a service's requests on workers; see service_scheduler.hpp.
#include "placement.hpp"
#include "service_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Penalty for a worker of another owner: that VM fills the worker, and its
/// contents are known from the last heartbeat only.
constexpr milliseconds other_owner_penalty{30};
/// Exceeds any queueing delay, so that a failing worker or a superseded copy is
/// used only if there is no other.
constexpr milliseconds failing_worker_penalty{60'000};
/// Penalty for loading an adapter away from its home. The home has probably
/// kept a copy on disk, which loads in a tenth of the time.
constexpr milliseconds off_home_penalty{100};
/// An owner refuses a grant if the request would start later by more than this
/// than at the best other worker known to the asking VM. The margin covers the
/// second round trip that a refusal costs.
constexpr milliseconds redirect_margin{60};
/// After this many owners refused, only workers of this VM are considered.
constexpr std::size_t max_owner_refusals = 4;
/// A request waits for a slot at a full home if one is expected to be free
/// within this time. A fetch elsewhere takes about as long and delays other
/// fetches.
constexpr milliseconds max_slot_wait{250};
/// Longest wait for a slot at a full home since the request arrived, whatever
/// the estimates were.
constexpr milliseconds max_busy_home_wait{700};
/// How long a request waits for workers to have owners again, as long as a
/// fetch of its adapter takes. Restarted VMs claim their workers within a
/// fraction of a second once the store answers. Workers of a lost VM have no
/// owner for much longer and are not waited for.
constexpr milliseconds max_owner_wait{250};

} // namespace

service_scheduler::worker_state*
service_scheduler::best_holder(waiting_item const& waiting, time_point now)
{
    work_item const& item = waiting.item;
    worker_state* best = nullptr;
    duration least = duration::max();
    for (auto& [id, worker] : workers_)
    {
        if (!accepts_request(*worker, item, now))
            continue;
        if (item.target && !has_usable_copy(*worker, *item.target, now))
            continue;
        if (item.target && owner_refused(id, waiting, now))
            continue;
        duration score = queueing_delay(*worker, now);
        score += cross_domain_penalty(*worker);
        if (admission_)
            score += admission_->placement_delay(id, now);
        if (config_.engine && !worker->owned)
            score += other_owner_penalty;
        if (worker->health.is_avoided(now) || is_failure_outlier(*worker, now))
            score += failing_worker_penalty;
        if (item.target && worker->adapters.outdated(*item.target))
            score += failing_worker_penalty;
        if (score >= least)
            continue;
        least = score;
        best = worker.get();
    }
    return best;
}

/// Avoids load imbalance when many rare adapters share one home with too few
/// slots, or when more requests ask for one adapter than fit into a batch.
/// Homes are chosen by hash, so that a few may have queues of seconds while
/// other workers are idle. Only a short queue is worth waiting for.
bool service_scheduler::worth_waiting(worker_state const& worker,
                                      waiting_item const& waiting,
                                      time_point now) const
{
    work_item const& item = waiting.item;
    if (worker.adapters.is_unresponsive() &&
        !has_usable_copy(worker, *item.target, now))
        return false;
    // The other workers that a bound request may use are about as full.
    duration const longest_wait =
        waiting.bound ? (item.give_up_at - now) / 2 : duration(max_slot_wait);
    std::size_t const slots = request_limit(worker);
    std::size_t const with_this =
        occupied_slots(worker, item) + worker.queued + 1;
    if (with_this > slots && slot_wait(with_this - slots, slots) > longest_wait)
        return false;
    return worker.adapters.can_load(*item.target) ||
           ((waiting.bound || now < item.arrived_at + max_busy_home_wait) &&
            slot_wait(worker.queued + 1, config_.engine->adapter_slots) <=
                longest_wait);
}

/// Load it answers: after all VMs were lost in the middle of a release, new
/// streams begin at the few workers of the old version for seconds, and
/// requests of any other kind run there, too. Streams that only these workers
/// can go on with would wait behind all of them.
bool service_scheduler::is_bound(work_item const& item) const
{
    return item.continues_stream && item.software &&
           std::any_of(workers_.begin(), workers_.end(),
                       [&item](auto const& each)
                       {
                           backend_entry const& entry = each.second->entry;
                           return !entry.draining &&
                                  item.software->count(entry.software) == 0;
                       });
}

void service_scheduler::wait_at(worker_state& worker,
                                waiting_item const& waiting, time_point now)
{
    work_item const& item = waiting.item;
    claim_memory(worker, item, now);
    ++worker.queued;
    auto const stage = worker.adapters.stage(*item.target);
    bool const has_adapter_slot =
        stage == adapter_stage::loading || stage == adapter_stage::resident;
    bool const is_full = occupied_slots(worker, item) >= request_limit(worker);
    bool const may_get_slot =
        !has_adapter_slot && !worker.adapters.is_blocked();
    worker.reserved |= waiting.bound && (is_full || may_get_slot);
}

bool service_scheduler::may_load_at(worker_state const& worker,
                                    waiting_item const& waiting,
                                    time_point now) const
{
    worker_id const& id = worker.entry.id;
    if (worker.entry.draining || is_excluded(worker, waiting.item) ||
        (worker.reserved && !waiting.bound) ||
        owner_refused(id, waiting, now) || is_failure_outlier(worker, now))
        return false;
    // A load needs orders or a request of this VM; a worker in backoff wants
    // none.
    if (is_paused(worker, now))
        return false;
    // A grant for another VM's worker is requested now and then although this
    // VM could not reach the worker. If the owner cannot reach the worker
    // either, the owner refuses.
    if (worker.health.is_avoided(now) &&
        (worker.owned || !worker.health.may_probe(now)))
        return false;
    if (worker.owned)
        return worker.adapters.may_order(now) &&
               worker.adapters.has_model(waiting.item.target->model) &&
               !must_not_fetch(worker, waiting, now) &&
               worth_waiting(worker, waiting, now);
    return has_reachable_owner(worker, now);
}

/// While fetches from the weight store slow each other down, one for a request
/// that is late already makes others late, too.
bool service_scheduler::must_not_fetch(worker_state const& worker,
                                       waiting_item const& waiting,
                                       time_point now)
{
    return waiting.late && worker.adapters.are_fetches_slow(now) &&
           !worker.adapters.stage(*waiting.item.target) &&
           !worker.adapters.was_recently_resident(*waiting.item.target);
}

/// Keeps workers in use whose owner is gone or cut off (up to a third of all
/// workers). Resident adapters are still used; only loads have to wait for a
/// new owner.
bool service_scheduler::may_send_without_grant(worker_state const& worker,
                                               work_item const& item,
                                               time_point now) const
{
    return !worker.owned && !has_reachable_owner(worker, now) &&
           accepts_request(worker, item, now) &&
           !is_failure_outlier(worker, now) &&
           has_usable_copy(worker, *item.target, now);
}

std::optional<std::uint64_t>
service_scheduler::prefix_rank(work_item const& item,
                               worker_state const& worker, time_point now) const
{
    if (worker.entry.draining || worker.health.is_avoided(now) ||
        !has_or_loads_adapter(worker, *item.target, now))
        return std::nullopt;
    return stable_hash(std::to_string(item.prefix.key) + "@" +
                       worker.entry.id.str());
}

/// Prefix-aware routing. An engine caches the prefill of prompts while memory
/// lasts, so requests with the same prefix prefer the same worker with their
/// adapter, chosen by rendezvous hashing. When one worker cannot prefill all of
/// these requests, the others start elsewhere and copy the cached prefix from
/// the prefix home.
service_scheduler::worker_state const*
service_scheduler::prefix_home(work_item const& item, time_point now) const
{
    if (item.prefix.key == 0 || !item.target)
        return nullptr;
    worker_state const* home = nullptr;
    std::uint64_t highest = 0;
    for (auto const& [id, worker] : workers_)
    {
        auto const rank = prefix_rank(item, *worker, now);
        if (!rank || (home != nullptr && *rank <= highest))
            continue;
        highest = *rank;
        home = worker.get();
    }
    return home;
}

std::optional<backend_entry>
service_scheduler::prefix_source(work_item const& item, worker_state const& on,
                                 adapter_version requested_version,
                                 time_point now)
{
    worker_state const* source = prefix_home(item, now);
    if (source == nullptr || source == &on)
        return std::nullopt;
    weights_version const newest = newest_weights(item.target->model);
    copy_decision decision = check_copy_source(*source, on, *item.target,
                                               requested_version, newest, now);
    if (decision == copy_decision::weights_differ)
    {
        source =
            alternative_prefix_home(item, on, requested_version, newest, now);
        if (source == &on)
            return std::nullopt;
        if (source != nullptr)
            decision = copy_decision::allowed;
    }
    ++counts_.prompt_copies.at(static_cast<std::size_t>(decision));
    if (decision != copy_decision::allowed)
        return std::nullopt;
    return source->entry;
}

/// Prefix home of requests that run on other weights than the first prefix home
/// has: the worker of highest rank among `on` and the workers whose cache is
/// valid for `on`.
service_scheduler::worker_state const*
service_scheduler::alternative_prefix_home(work_item const& item,
                                           worker_state const& on,
                                           adapter_version requested_version,
                                           weights_version newest,
                                           time_point now) const
{
    worker_state const* first = nullptr;
    std::uint64_t highest = 0;
    for (auto const& [id, worker] : workers_)
    {
        auto const rank = prefix_rank(item, *worker, now);
        if (!rank || (first != nullptr && *rank <= highest) ||
            (worker.get() != &on &&
             check_copy_source(*worker, on, *item.target, requested_version,
                               newest, now) != copy_decision::allowed))
            continue;
        highest = *rank;
        first = worker.get();
    }
    return first;
}

copy_decision service_scheduler::check_copy_source(
    worker_state const& source, worker_state const& reader,
    model_target const& target, adapter_version requested_version,
    weights_version newest_weights, time_point now) const
{
    served_versions const from = versions_at(source, target);
    served_versions to = versions_at(reader, target);
    // The worker rejects a request that names a version which the worker lacks.
    if (requested_version != adapter_version())
        to.adapter = requested_version;
    newest_versions const newest{
        newest_weights,
        std::max({newest_version(target), from.adapter, to.adapter})};
    if (from.weights < newest.weights && shares_address(source))
        return copy_decision::address_shared;
    return decide_prompt_copy(from, to, newest, known_as_of_,
                              weights_load_time(target.model), now,
                              now + reader.backlog.ahead(now));
}

/// Chooses the worker with the lowest placement cost, to balance long and short
/// prompts as well as rare and popular adapters. An adapter that is not
/// resident anywhere goes to its home, chosen by rendezvous hashing, which is
/// the same on all VMs that see the same workers and where copies on disk are
/// likely, unless another worker is better by more than a fetch costs.
service_scheduler::placement_choice
service_scheduler::best_worker(waiting_item const& waiting,
                               bool own_workers_only,
                               worker_state const* except, time_point now)
{
    work_item const& item = waiting.item;
    std::vector<worker_state*> candidates;
    worker_state const* home = nullptr;
    std::uint64_t highest = 0;
    for (auto& [id, worker] : workers_)
    {
        if (worker.get() == except || (own_workers_only && !worker->owned))
            continue;
        if (!can_run_now(*worker, item, now) &&
            !may_load_at(*worker, waiting, now) &&
            !may_send_without_grant(*worker, item, now))
            continue;
        candidates.push_back(worker.get());
        std::uint64_t const rank =
            stable_hash(item.target->adapter.str() + "@" + id.str());
        if (home != nullptr && rank <= highest)
            continue;
        highest = rank;
        home = worker.get();
    }
    worker_state const* const prefix_worker = prefix_home(item, now);
    placement_choice best;
    for (worker_state* const worker : candidates)
    {
        duration delay = placement_cost(*worker, item, prefix_worker, now);
        if (worker != home &&
            !has_or_loads_adapter(*worker, *item.target, now) &&
            !worker->adapters.was_recently_resident(*item.target))
            delay += off_home_penalty;
        bool const without_grant = may_send_without_grant(*worker, item, now);
        if (without_grant)
            delay += other_owner_penalty;
        if (delay < best.delay)
        {
            best.without_grant = without_grant;
            best.next_delay = best.delay;
            best.delay = delay;
            best.worker = worker;
        }
        else
            best.next_delay = std::min(best.next_delay, delay);
    }
    return best;
}

void service_scheduler::place(waiting_item& waiting, worker_state& on,
                              time_point now)
{
    work_item const& item = waiting.item;
    bool const loaded = !waiting.loading_worker.empty();
    starts_.on_start(now);
    count_share(waiting);
    if (on.health.is_avoided(now))
        on.health.on_probe_sent(now);
    sent_item sent;
    sent.worker = on.entry.id;
    sent.sent_at = now;
    sent.started = on.entry.started;
    sent.target = item.target;
    if (item.target && !item.target->adapter.empty() && on.owned)
    {
        on.adapters.begin_use(*item.target);
        sent.counted_use = true;
    }
    if (item.requested_worker)
    {
        sent.by_peer = true;
        ++on.granted;
        ++counts_.granted;
        on.backlog.add(prefill_rate_.prefill_time(item.prompt_tokens), now);
        reserve_memory(on, item);
        actions_.push_back(grant_peer_request{
            item.ticket,
            {on.entry.id, believed_version(on, *item.target)},
            batch_utilization(on)});
        sent_.emplace(item.ticket, std::move(sent));
        return;
    }
    ++(on.owned ? loaded ? counts_.placed_after_load : counts_.placed_resident
                : counts_.placed_elsewhere);
    adapter_version const copy =
        item.target ? believed_version(on, *item.target) : adapter_version();
    adapter_version const requested_version =
        required_version(item.target, copy, now);
    actions_.push_back(place_request{
        item.ticket, on.entry.id, on.entry,
        on.owned ? loaded ? "loaded" : "resident" : "listed", requested_version,
        prefix_source(item, on, requested_version, now),
        find_superseded(item.target, copy)});
    sent.copy_version = std::max(requested_version, copy);
    record_send(on, item, std::move(sent), now);
}

service_scheduler::decision service_scheduler::decide(waiting_item& waiting,
                                                      queue_key const& key,
                                                      time_point now)
{
    if (!config_.engine && waiting.item.requested_worker)
        return decision::unservable;
    if (!config_.engine)
    {
        // The service may have been an engine when the request arrived.
        stop_waiting_for_load(waiting);
        waiting.item.target.reset();
    }
    if (waiting.item.requested_worker)
        return decide_peer_request(waiting, now);
    if (auto const pause = all_paused(waiting.item, now))
        return wait_for_pause_end(waiting, *pause, now);
    if (waiting.item.target && !waiting.item.target->adapter.empty())
        return decide_adapter(waiting, key, now);
    if (worker_state* const holder = best_holder(waiting, now))
    {
        place(waiting, *holder, now);
        return decision::placed;
    }
    bool const all_tried =
        std::all_of(workers_.begin(), workers_.end(),
                    [&waiting](auto const& each)
                    {
                        return each.second->entry.draining ||
                               is_excluded(*each.second, waiting.item);
                    });
    return all_tried ? decision::unservable : decision::waits;
}

/// Decides on another VM's grant request for a worker of this VM. If that
/// worker is full, fails or drains, any other worker of this VM may be granted.
/// A refusal therefore holds for all workers of this VM, and the other VM need
/// not ask for each of them.
service_scheduler::decision
service_scheduler::decide_peer_request(waiting_item& waiting, time_point now)
{
    worker_state* const worker = find(*waiting.item.requested_worker);
    if (worker == nullptr || !worker->owned)
        return decision::unservable;
    model_target const& target = *waiting.item.target;
    time_point const latest =
        waiting.item.begins_elsewhere_at == never
            ? never
            : waiting.item.begins_elsewhere_at + duration(redirect_margin);
    if (auto const decided = continue_waiting(waiting, now))
        return *decided;
    placement_choice const best = best_worker(waiting, true, nullptr, now);
    if (best.worker == nullptr || now + best.delay > latest ||
        !best.worker->adapters.synced())
        return decision::unservable;
    if (can_run_now(*best.worker, waiting.item, now))
        return place_at_holder(waiting, *best.worker, now);
    if (has_usable_copy(*best.worker, target, now))
    {
        wait_at(*best.worker, waiting, now);
        return decision::waits;
    }
    return wait_for_load_at(waiting, *best.worker, now);
}

/// Keeps to the decision to wait for a load unless a holder is now at least as
/// good. Otherwise an adapter would be fetched because its holder has a prefill
/// backlog of seconds, and a moment later the request would go to that holder
/// all the same, late and with an unused second copy.
std::optional<service_scheduler::decision>
service_scheduler::continue_waiting(waiting_item& waiting, time_point now)
{
    if (waiting.loading_worker.empty())
        return std::nullopt;
    worker_state* const loading = find(waiting.loading_worker);
    if (loading == nullptr || !should_keep_waiting(*loading, waiting, now))
    {
        stop_waiting_for_load(waiting);
        return std::nullopt;
    }
    worker_state* const holder = own_holder(waiting, now);
    worker_state const* const home = prefix_home(waiting.item, now);
    if (holder != nullptr &&
        placement_cost(*holder, waiting.item, home, now) <=
            placement_cost(*loading, waiting.item, home, now))
        return place_at_holder(waiting, *holder, now);
    wait_at(*loading, waiting, now);
    return decision::waits;
}

service_scheduler::decision
service_scheduler::place_at_holder(waiting_item& waiting, worker_state& holder,
                                   time_point now)
{
    replicate_adapter(holder, waiting, now);
    place(waiting, holder, now);
    stop_waiting_for_load(waiting);
    return decision::placed;
}

service_scheduler::decision
service_scheduler::wait_for_load_at(waiting_item& waiting, worker_state& worker,
                                    time_point now)
{
    wait_at(worker, waiting, now);
    if (!worker.adapters.can_load(*waiting.item.target))
        return decision::waits;
    worker.adapters.request_load(*waiting.item.target,
                                 newest_version(*waiting.item.target), now);
    worker.adapters.begin_wait(*waiting.item.target);
    waiting.loading_worker = worker.entry.id;
    return decision::waits;
}

/// Loads a second copy of an adapter when the worker of the first is overloaded
/// by a hot adapter or has an outdated version. The first copy serves requests
/// meanwhile, so that none waits for the load.
void service_scheduler::replicate_adapter(worker_state const& busy,
                                          waiting_item const& waiting,
                                          time_point now)
{
    model_target const& target = *waiting.item.target;
    bool const outdated = busy.adapters.outdated(target);
    bool const often = is_hot(target, now);
    if (!is_overloaded(busy, often, now) && !outdated)
        return;
    for (auto const& [id, worker] : workers_)
        if (worker.get() != &busy && worker->owned &&
            worker->adapters.stage(target) &&
            !worker->adapters.outdated(target))
            return;
    worker_state* const other = best_worker(waiting, true, &busy, now).worker;
    if (other == nullptr || !other->adapters.can_load(target) ||
        (!outdated && is_overloaded(*other, often, now)))
        return;
    other->adapters.request_load(target, newest_version(target), now);
}

/// Returns the owned worker with a usable copy and free capacity that has the
/// newest version, then the lowest placement cost; null if there is none.
service_scheduler::worker_state*
service_scheduler::own_holder(waiting_item const& waiting, time_point now)
{
    model_target const& target = *waiting.item.target;
    worker_state* best = nullptr;
    std::pair<bool, duration> least;
    worker_state const* const prefix_worker = prefix_home(waiting.item, now);
    for (auto& [id, worker] : workers_)
    {
        if (!can_run_now(*worker, waiting.item, now))
            continue;
        std::pair<bool, duration> const cost{
            worker->adapters.outdated(target),
            placement_cost(*worker, waiting.item, prefix_worker, now)};
        if (best != nullptr && cost >= least)
            continue;
        best = worker.get();
        least = cost;
    }
    return best;
}

/// Whether a request should keep waiting for its adapter's load at the worker.
bool service_scheduler::should_keep_waiting(worker_state const& worker,
                                            waiting_item const& waiting,
                                            time_point now) const
{
    auto const stage = worker.adapters.stage(*waiting.item.target);
    // A request that waits keeps its adapter from being evicted.
    if (worker.reserved && !waiting.bound && stage != adapter_stage::loading)
        return false;
    return stage && !is_excluded(worker, waiting.item) &&
           is_available(worker, now) && !worker.health.is_avoided(now) &&
           !is_failure_outlier(worker, now) &&
           worth_waiting(worker, waiting, now);
}

service_scheduler::decision
service_scheduler::decide_adapter(waiting_item& waiting, queue_key const& key,
                                  time_point now)
{
    waiting.review_at = never;
    if (auto const decided = continue_waiting(waiting, now))
        return *decided;
    std::erase_if(waiting.refused_until,
                  [now](auto const& each) { return each.second <= now; });
    bool const own_workers_only =
        waiting.refused_until.size() >= max_owner_refusals;
    placement_choice const best =
        best_worker(waiting, own_workers_only, nullptr, now);
    if (best.worker != nullptr && best.without_grant)
    {
        place(waiting, *best.worker, now);
        return decision::placed;
    }
    if (best.worker != nullptr && !best.worker->owned)
    {
        request_grant(waiting, key, best, now);
        return decision::grant_requested;
    }
    if (best.worker != nullptr && can_run_now(*best.worker, waiting.item, now))
        return place_at_holder(waiting, *best.worker, now);
    if (best.worker != nullptr)
        return wait_for_load_at(waiting, *best.worker, now);
    // No owner can be asked and nothing can be loaded: use any worker that
    // lists the adapter.
    if (worker_state* const holder = best_holder(waiting, now))
    {
        place(waiting, *holder, now);
        return decision::placed;
    }
    // Without this wait, a VM that owns no worker would reject requests for
    // seconds after four owners refused, although these owners could accept
    // the requests a moment later.
    if (may_retry_owner(waiting, now))
        return decision::waits;
    if (may_gain_owner(waiting, now))
    {
        waiting.review_at = waiting.item.arrived_at + duration(max_owner_wait);
        return decision::waits;
    }
    bool const own_may_later =
        std::any_of(workers_.begin(), workers_.end(),
                    [&](auto const& each)
                    {
                        return each.second->owned &&
                               is_available(*each.second, now) &&
                               each.second->adapters.may_order(now) &&
                               !each.second->health.is_avoided(now) &&
                               !is_excluded(*each.second, waiting.item);
                    });
    return own_may_later ? decision::waits : decision::unservable;
}

/// Guards against rejections when all VMs restart at once: for a moment no
/// worker has an owner, but half a second later an owner would accept requests
/// for adapters that are not loaded.
bool service_scheduler::may_gain_owner(waiting_item const& waiting,
                                       time_point now) const
{
    if (now >= waiting.item.arrived_at + duration(max_owner_wait))
        return false;
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& each)
                       {
                           worker_state const& worker = *each.second;
                           return !worker.owned && is_available(worker, now) &&
                                  owners_.count(each.first) == 0 &&
                                  !is_excluded(worker, waiting.item) &&
                                  !worker.health.is_avoided(now);
                       });
}

bool service_scheduler::may_retry_owner(waiting_item const& waiting,
                                        time_point now) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& each)
                       {
                           return owner_refused(each.first, waiting, now) &&
                                  is_available(*each.second, now) &&
                                  has_reachable_owner(*each.second, now);
                       });
}

void service_scheduler::request_grant(waiting_item& waiting,
                                      queue_key const& key,
                                      placement_choice const& best,
                                      time_point now)
{
    set_wait_cause(waiting, wait_cause::owner_grant);
    work_item const& item = waiting.item;
    worker_id const worker = best.worker->entry.id;
    vm_id const owner = owners_.at(worker);
    worker_health& peer = peers_[owner];
    if (peer.is_avoided(now))
        peer.on_probe_sent(now);
    peer.sent(now);
    // Only the first owner learns of the alternative. VMs know each other's
    // workers from stale data; if every owner refused in favour of the next
    // one, no owner would serve the request.
    bool const first_ask = waiting.refused_until.empty();
    time_point const elsewhere = first_ask && best.next_delay != duration::max()
                                     ? now + best.next_delay
                                     : never;
    std::set<worker_id> excluded = item.excluded;
    for (auto const& [id, each] : workers_)
        if (!is_available(*each, now))
            excluded.insert(id);
    actions_.push_back(request_owner_grant{
        item.ticket, owner, worker, *item.target, item.priority,
        item.give_up_at, excluded, item.prompt_tokens, item.prefix,
        item.objective_at, elsewhere, item.software, item.team,
        item.answer_tokens, item.continues_stream});
    pending_grants_.insert_or_assign(
        item.ticket, pending_grant{waiting, key, owner, worker, now});
}

} // namespace mulberry
