// Where the requests of a service are placed; see service_scheduler.hpp.
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

/// Another VM gives that worker its orders and fills it; what it holds is
/// known from its last heartbeat only.
constexpr milliseconds other_owner_penalty{30};
/// Longer than any queue: a worker that fails is used when there is no other.
constexpr milliseconds sick_penalty{60'000};
/// An adapter's home is likely to have kept a copy of it, which loads in a
/// tenth of the time.
constexpr milliseconds away_from_home{100};
/// An owner that would begin a request so much later than another worker says
/// no: asking costs the way there and back twice.
constexpr milliseconds elsewhere_margin{60};
/// After so many owners said no, a request is served by whatever is here.
constexpr std::size_t most_refusals = 4;
/// A home whose slots are all in use is waited for while one is expected to be
/// free within this: a fetch elsewhere takes about as long, and keeps others
/// from theirs.
constexpr milliseconds longest_slot_wait{250};
/// However soon a slot was expected, a home is waited for no longer.
constexpr milliseconds busy_home_wait{700};
/// How long a request waits for workers to have owners again: VMs that restart
/// take theirs within a fraction of a second once the store answers. As long as
/// a fetch of its adapter takes; the workers of a VM that is lost have no owner
/// for much longer, and nobody waits for these.
constexpr milliseconds owner_wait{250};

} // namespace

service_scheduler::worker_state*
service_scheduler::best_holder(waiting_item const& waiting, time_point now)
{
    work_item const& item = waiting.item;
    worker_state* best = nullptr;
    duration least = duration::max();
    for (auto& [id, worker] : workers_)
    {
        if (!usable(*worker, item, now))
            continue;
        if (item.target && !holds(*worker, *item.target, now))
            continue;
        duration score = queue_delay(*worker, now);
        score += domain_delay(*worker);
        if (config_.engine && !worker->owned)
            score += other_owner_penalty;
        if (worker->health.is_avoided(now) || sick(*worker, now))
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

/// Load it answers: many rare adapters at once, more of them at some homes than
/// those have slots for, or one adapter that more ask for than a batch holds.
/// Homes are chosen by hash, so a few have queues of seconds while others have
/// room to spare; a short queue is waited for.
bool service_scheduler::worth_waiting(worker_state const& worker,
                                      work_item const& item,
                                      time_point now) const
{
    if (worker.adapters.is_unresponsive() &&
        !holds(worker, *item.target, now))
        return false;
    std::size_t const slots = limit_of(worker);
    std::size_t const with_this = taken(worker) + worker.queued + 1;
    if (with_this > slots &&
        slot_wait(with_this - slots, slots) > longest_slot_wait)
        return false;
    return worker.adapters.can_load(*item.target) ||
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
        refused_by(id, waiting, now) || sick(worker, now))
        return false;
    // A load would need orders of this VM, or a request of it.
    if (rests(worker, now))
        return false;
    // Another VM's worker may be asked for now and then though this VM could
    // not reach it: its owner says no if it cannot either.
    if (worker.health.is_avoided(now) &&
        (worker.owned || !worker.health.may_probe(now)))
        return false;
    if (worker.owned)
        return worker.adapters.may_order(now) &&
               worker.adapters.has_model(waiting.item.target->model) &&
               worth_waiting(worker, waiting.item, now);
    return has_reachable_owner(worker, now);
}

/// Load it answers: a VM is gone or cut off with the workers that it orders, a
/// third of all. What they hold goes on being used; only loads have to wait for
/// another owner.
bool service_scheduler::may_send_unasked(worker_state const& worker,
                                         work_item const& item,
                                         time_point now) const
{
    return !worker.owned && !has_reachable_owner(worker, now) &&
           usable(worker, item, now) && !sick(worker, now) &&
           holds(worker, *item.target, now);
}

std::optional<std::uint64_t>
service_scheduler::prefix_rank(work_item const& item,
                               worker_state const& worker, time_point now) const
{
    if (worker.entry.draining || worker.health.is_avoided(now) ||
        !known_at(worker, *item.target, now))
        return std::nullopt;
    return stable_hash(std::to_string(item.prefix.key) + "@" +
                       worker.entry.id.str());
}

/// Load it answers: prompts with a long beginning in common, more of them than
/// one worker can read. An engine keeps what it has read for as long as memory
/// lasts; requests with the same beginning go to the same holder of their
/// adapter, by rendezvous hashing, and where another begins sooner the
/// beginning is copied from there.
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
                                 adapter_version named, time_point now)
{
    worker_state const* source = prefix_home(item, now);
    if (source == nullptr || source == &on)
        return std::nullopt;
    weights_version const newest = newest_weights(item.target->model);
    copy_decision verdict =
        judge_source(*source, on, *item.target, named, newest, now);
    if (verdict == copy_decision::weights_differ)
    {
        source = home_beside(item, on, named, newest, now);
        if (source == &on)
            return std::nullopt;
        if (source != nullptr)
            verdict = copy_decision::allowed;
    }
    ++counts_.prompt_copies.at(static_cast<std::size_t>(verdict));
    if (verdict != copy_decision::allowed)
        return std::nullopt;
    return source->entry;
}

/// Requests that run on other weights than the home has have a home of their
/// own: the first in rank among the worker that they go to and those whose
/// memory is of use there.
service_scheduler::worker_state const*
service_scheduler::home_beside(work_item const& item, worker_state const& on,
                               adapter_version named, weights_version newest,
                               time_point now) const
{
    worker_state const* first = nullptr;
    std::uint64_t highest = 0;
    for (auto const& [id, worker] : workers_)
    {
        auto const rank = prefix_rank(item, *worker, now);
        if (!rank || (first != nullptr && *rank <= highest) ||
            (worker.get() != &on &&
             judge_source(*worker, on, *item.target, named, newest, now) !=
                 copy_decision::allowed))
            continue;
        highest = *rank;
        first = worker.get();
    }
    return first;
}

copy_decision service_scheduler::judge_source(worker_state const& source,
                                             worker_state const& reader,
                                             model_target const& target,
                                             adapter_version named,
                                             weights_version newest_weights,
                                             time_point now) const
{
    served_versions const from = versions_at(source, target);
    served_versions to = versions_at(reader, target);
    // The worker refuses a request that names a version which it lacks.
    if (named != adapter_version())
        to.adapter = named;
    newest_versions const newest{
        newest_weights,
        std::max({newest_of(target), from.adapter, to.adapter})};
    if (from.weights < newest.weights && shares_address(source))
        return copy_decision::address_shared;
    return decide_prompt_copy(from, to, newest, known_as_of_,
                      weights_load_time(target.model), now,
                      now + reader.reading.ahead(now));
}

/// Load it answers: prompts of a second beside short ones, many rare adapters
/// and a few that everybody asks for. Each request goes where it would begin
/// first. Adapters that are nowhere go to their home by rendezvous hashing, the
/// same on every VM that sees the same workers and where copies of them are
/// kept, unless another worker is sooner by more than a fetch is worth.
service_scheduler::choice
service_scheduler::best_place(waiting_item const& waiting, bool own_only,
                              worker_state const* except, time_point now)
{
    work_item const& item = waiting.item;
    std::vector<worker_state*> candidates;
    worker_state const* home = nullptr;
    std::uint64_t highest = 0;
    for (auto& [id, worker] : workers_)
    {
        if (worker.get() == except || (own_only && !worker->owned))
            continue;
        if (!ready_at(*worker, item, now) &&
            !may_load_at(*worker, waiting, now) &&
            !may_send_unasked(*worker, item, now))
            continue;
        candidates.push_back(worker.get());
        std::uint64_t const rank =
            stable_hash(item.target->adapter.str() + "@" + id.str());
        if (home != nullptr && rank <= highest)
            continue;
        highest = rank;
        home = worker.get();
    }
    worker_state const* const prefers = prefix_home(item, now);
    choice best;
    for (worker_state* const worker : candidates)
    {
        duration delay = begin_delay(*worker, item, prefers, now);
        if (worker != home && !known_at(*worker, *item.target, now) &&
            !worker->adapters.was_recently_resident(*item.target))
            delay += away_from_home;
        bool const unasked = may_send_unasked(*worker, item, now);
        if (unasked)
            delay += other_owner_penalty;
        if (delay < best.delay)
        {
            best.unasked = unasked;
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
    bool const loaded = !waiting.loads_at.empty();
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
    if (item.asked_for)
    {
        sent.by_peer = true;
        ++on.granted;
        ++counts_.granted;
        on.reading.add(pace_.prefill_time(item.prompt_tokens), now);
        actions_.push_back(
            grant_ask{item.ticket,
                      {on.entry.id, believed_version(on, *item.target)},
                      load_of(on)});
        sent_.emplace(item.ticket, std::move(sent));
        return;
    }
    ++(on.owned ? loaded ? counts_.placed_after_load : counts_.placed_resident
                : counts_.placed_elsewhere);
    adapter_version const copy =
        item.target ? believed_version(on, *item.target) : adapter_version();
    adapter_version const named = required_version(item.target, copy, now);
    actions_.push_back(place_request{
        item.ticket, on.entry.id, on.entry,
        on.owned ? loaded ? "loaded" : "resident" : "listed", named,
        prefix_source(item, on, named, now), replaced(item.target, copy)});
    sent.copy = std::max(named, copy);
    note_send(on, item, std::move(sent), now);
}

service_scheduler::verdict service_scheduler::decide(waiting_item& waiting,
                                                     queue_key const& key,
                                                     time_point now)
{
    if (waiting.item.asked_for)
        return decide_asked(waiting, now);
    if (auto const until = all_rest_until(waiting.item, now))
        return wait_for_rest(waiting, *until, now);
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

/// Another VM's request for one worker of this one's. Load it answers: an owner
/// has several workers and the one that was asked for is full, fails or leaves.
/// The others are as good; a no stands for all of them, so that nobody asks the
/// same owner again for each.
service_scheduler::verdict
service_scheduler::decide_asked(waiting_item& waiting, time_point now)
{
    worker_state* const worker = find(*waiting.item.asked_for);
    if (worker == nullptr || !worker->owned)
        return verdict::hopeless;
    model_target const& target = *waiting.item.target;
    time_point const latest =
        waiting.item.begins_elsewhere_at == never
            ? never
            : waiting.item.begins_elsewhere_at + duration(elsewhere_margin);
    if (auto const decided = go_on(waiting, now))
        return *decided;
    choice const best = best_place(waiting, true, nullptr, now);
    if (best.worker == nullptr || now + best.delay > latest ||
        !best.worker->adapters.synced())
        return verdict::hopeless;
    if (ready_at(*best.worker, waiting.item, now))
        return use_holder(waiting, *best.worker, now);
    if (holds(*best.worker, target, now))
    {
        ++best.worker->queued;
        return verdict::waits;
    }
    return wait_at(waiting, *best.worker, now);
}

/// Failure: an adapter is fetched because its holder has seconds of prompts to
/// read; asked again a moment later, the request goes to that holder all the
/// same, and is late beside a copy that nobody uses.
std::optional<service_scheduler::verdict>
service_scheduler::go_on(waiting_item& waiting, time_point now)
{
    if (waiting.loads_at.empty())
        return std::nullopt;
    worker_state* const loading = find(waiting.loads_at);
    if (loading == nullptr || !goes_on_waiting(*loading, waiting, now))
    {
        leave_wait(waiting);
        return std::nullopt;
    }
    worker_state* const holder = own_holder(waiting, now);
    worker_state const* const home = prefix_home(waiting.item, now);
    if (holder != nullptr && begin_delay(*holder, waiting.item, home, now) <=
                                 begin_delay(*loading, waiting.item, home, now))
        return use_holder(waiting, *holder, now);
    ++loading->queued;
    return verdict::waits;
}

service_scheduler::verdict service_scheduler::use_holder(waiting_item& waiting,
                                                         worker_state& holder,
                                                         time_point now)
{
    spread_load(holder, waiting, now);
    place(waiting, holder, now);
    leave_wait(waiting);
    return verdict::placed;
}

service_scheduler::verdict service_scheduler::wait_at(waiting_item& waiting,
                                                      worker_state& worker,
                                                      time_point now)
{
    ++worker.queued;
    if (!worker.adapters.can_load(*waiting.item.target))
        return verdict::waits;
    worker.adapters.request_load(*waiting.item.target, newest_of(*waiting.item.target),
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
    worker_state* const other = best_place(waiting, true, &busy, now).worker;
    if (other == nullptr || !other->adapters.can_load(target) ||
        (!outdated && crowded(*other, often, now)))
        return;
    other->adapters.request_load(target, newest_of(target), now);
}

/// A worker of this VM that has the adapter and room: one with the newest
/// version first, then the emptiest.
service_scheduler::worker_state*
service_scheduler::own_holder(waiting_item const& waiting, time_point now)
{
    model_target const& target = *waiting.item.target;
    worker_state* best = nullptr;
    std::pair<bool, duration> least;
    worker_state const* const prefers = prefix_home(waiting.item, now);
    for (auto& [id, worker] : workers_)
    {
        if (!ready_at(*worker, waiting.item, now))
            continue;
        std::pair<bool, duration> const cost{
            worker->adapters.outdated(target),
            begin_delay(*worker, waiting.item, prefers, now)};
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
           accepts(worker, now) && !worker.health.is_avoided(now) &&
           !sick(worker, now) && worth_waiting(worker, waiting.item, now);
}

service_scheduler::verdict
service_scheduler::decide_adapter(waiting_item& waiting, queue_key const& key,
                                  time_point now)
{
    model_target const& target = *waiting.item.target;
    waiting.review_at = never;
    if (auto const decided = go_on(waiting, now))
        return *decided;
    std::erase_if(waiting.said_no,
                  [now](auto const& each) { return each.second <= now; });
    bool const tired = waiting.said_no.size() >= most_refusals;
    choice const best = best_place(waiting, tired, nullptr, now);
    if (best.worker != nullptr && best.unasked)
    {
        place(waiting, *best.worker, now);
        return verdict::placed;
    }
    if (best.worker != nullptr && !best.worker->owned)
    {
        ask(waiting, key, best, now);
        return verdict::asked;
    }
    if (best.worker != nullptr && ready_at(*best.worker, waiting.item, now))
        return use_holder(waiting, *best.worker, now);
    if (best.worker != nullptr)
        return wait_at(waiting, *best.worker, now);
    // Nobody can be asked and nothing loaded: whoever lists the adapter.
    if (worker_state* const holder = best_holder(waiting, now))
    {
        place(waiting, *holder, now);
        return verdict::placed;
    }
    // Failure: a VM that orders no worker is told by four owners that they are
    // busy, and rejects for seconds what they could take a moment later.
    if (may_ask_again(waiting, now))
        return verdict::waits;
    if (owner_may_come(waiting, now))
    {
        waiting.review_at = waiting.item.arrived_at + duration(owner_wait);
        return verdict::waits;
    }
    bool const own_may_later =
        std::any_of(workers_.begin(), workers_.end(),
                    [&](auto const& each)
                    {
                        return each.second->owned &&
                               accepts(*each.second, now) &&
                               each.second->adapters.may_order(now) &&
                               !each.second->health.is_avoided(now) &&
                               waiting.item.excluded.count(each.first) == 0;
                    });
    return own_may_later ? verdict::waits : verdict::hopeless;
}

/// Failure: all VMs restart at once. For a moment nobody owns a worker, and
/// every request for an adapter that is not loaded is told to come back, though
/// an owner would take it half a second later.
bool service_scheduler::owner_may_come(waiting_item const& waiting,
                                       time_point now) const
{
    if (now >= waiting.item.arrived_at + duration(owner_wait))
        return false;
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& each)
                       {
                           worker_state const& worker = *each.second;
                           return !worker.owned && accepts(worker, now) &&
                                  owners_.count(each.first) == 0 &&
                                  waiting.item.excluded.count(each.first) ==
                                      0 &&
                                  !worker.health.is_avoided(now);
                       });
}

bool service_scheduler::may_ask_again(waiting_item const& waiting,
                                      time_point now) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& each)
                       {
                           return refused_by(each.first, waiting, now) &&
                                  accepts(*each.second, now) &&
                                  has_reachable_owner(*each.second, now);
                       });
}

void service_scheduler::ask(waiting_item& waiting, queue_key const& key,
                            choice const& best, time_point now)
{
    work_item const& item = waiting.item;
    worker_id const worker = best.worker->entry.id;
    vm_id const owner = owners_.at(worker);
    worker_health& peer = peers_[owner];
    if (peer.is_avoided(now))
        peer.on_probe_sent(now);
    peer.sent(now);
    // Failure: every VM knows the others' workers from a while ago. Each owner
    // says no for the sake of the next one, and the request is served by none.
    bool const first_ask = waiting.said_no.empty();
    time_point const elsewhere = first_ask && best.next_delay != duration::max()
                                     ? now + best.next_delay
                                     : never;
    std::set<worker_id> excluded = item.excluded;
    for (auto const& [id, each] : workers_)
        if (!accepts(*each, now))
            excluded.insert(id);
    actions_.push_back(ask_owner{item.ticket, owner, worker, *item.target,
                                 item.priority, item.give_up_at, excluded,
                                 item.prompt_tokens, item.prefix,
                                 item.objective_at, elsewhere});
    asked_.insert_or_assign(item.ticket,
                            asked_item{waiting, key, owner, worker, now});
}

} // namespace mulberry
