#include "service_scheduler.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

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
/// A request is turned away when the expected wait takes more than that share
/// of the time that it has left: the rest is for the answer itself, and for
/// the caller to come back elsewhere.
constexpr double wait_share = 0.5;
/// An adapter that callers of this VM ask for so often has a home in the VM's
/// own failure domain; a rarer one has one home for all domains. A copy more
/// costs a fetch from the weight store and later ones; a request that crosses
/// domains costs its few kilobytes there. At a rate of one in three seconds
/// the bytes outweigh the fetch within some ten seconds.
constexpr double local_home_rate = 0.3;
/// A load that another VM told is believed for so long.
constexpr milliseconds told_load_age{500};
/// An owner that has begun to answer does so in the end once the adapter is
/// loaded, which takes several times longer than usual while many are fetched.
constexpr milliseconds owner_answers{2000};
/// After so many owners said no, a request is served by whatever is here.
constexpr std::size_t most_refusals = 2;
/// A home whose slots are all in use is waited for so long before another is
/// taken: a slot is free again after the rest of a request, which takes about
/// half a second, while a fetch elsewhere keeps others from theirs.
constexpr milliseconds busy_home_wait{700};
/// Where a request cannot be served here at all, another VM may: the caller is
/// told to come back at once, spread over this span.
constexpr milliseconds elsewhere_retry{50};
constexpr milliseconds least_retry{100};
constexpr milliseconds longest_retry{1500};
/// The window that loads of weights are counted in.
constexpr milliseconds weight_window{5000};
constexpr double newest_weight = 0.05;
/// Requests that wait are looked at again at least this often.
constexpr milliseconds review_interval{50};

} // namespace

service_scheduler::service_scheduler(scheduler_settings settings,
                                     service_config config)
    : settings_(std::move(settings)), config_(std::move(config))
{
}

service_scheduler::~service_scheduler() = default;

void service_scheduler::configure(service_config config)
{
    config_ = std::move(config);
}

service_scheduler::worker_state*
service_scheduler::find(worker_id const& worker)
{
    auto const known = workers_.find(worker);
    return known == workers_.end() ? nullptr : known->second.get();
}

void service_scheduler::set_backends(std::vector<backend_entry> const& entries)
{
    std::set<worker_id> listed;
    for (backend_entry const& entry : entries)
    {
        listed.insert(entry.id);
        if (worker_state* const known = find(entry.id))
        {
            known->entry = entry;
            continue;
        }
        worker_adapters_settings shelf;
        shelf.adapter_slots =
            config_.engine ? config_.engine->adapter_slots : 0;
        workers_.emplace(entry.id,
                         std::make_unique<worker_state>(entry, shelf));
    }
    std::erase_if(workers_, [&](auto const& each)
                  { return listed.count(each.first) == 0; });
    for (auto& [key, waiting] : queue_)
        if (!waiting.loads_at.empty() && find(waiting.loads_at) == nullptr)
            waiting.loads_at = {};
}

void service_scheduler::set_grants(
    std::map<worker_id, order_grant> const& grants)
{
    for (auto& [id, worker] : workers_)
    {
        auto const grant = grants.find(id);
        bool const granted = grant != grants.end();
        if (granted)
            worker->adapters.grant(settings_.vm, grant->second.fence,
                                   grant->second.orders_from);
        else if (worker->adapters.granted())
        {
            worker->adapters.revoke();
            for (auto& [key, waiting] : queue_)
                if (waiting.loads_at == id)
                    waiting.loads_at = {};
        }
        worker->owned = granted;
    }
}

void service_scheduler::on_release(model_target const& target,
                                   adapter_version version, time_point now)
{
    release& known = releases_[target];
    if (version <= known.version)
        return;
    known = {version, now};
    for (auto& [id, worker] : workers_)
        worker->adapters.outdate(target, version);
}

adapter_ref service_scheduler::demand_key(model_target const& target) const
{
    return {adapter_id(target.model.str() + "/" + target.adapter.str()),
            adapter_version(1)};
}

void service_scheduler::submit(work_item item, time_point now)
{
    if (item.target && !item.target->adapter.empty() && item.excluded.empty())
    {
        demand_.observe(demand_key(*item.target), now);
        if (!item.asked_for)
            own_demand_.observe(demand_key(*item.target), now);
    }
    queue_key const key{item.priority, ++last_number_};
    waiting_.emplace(item.ticket, key);
    queue_.emplace(key, waiting_item{std::move(item), {}});
}

void service_scheduler::leave_wait(waiting_item& waiting)
{
    if (waiting.loads_at.empty())
        return;
    if (worker_state* const worker = find(waiting.loads_at))
        worker->adapters.end_wait(*waiting.item.target);
    waiting.loads_at = {};
}

void service_scheduler::withdraw(ticket_id ticket)
{
    asked_.erase(ticket);
    auto const known = waiting_.find(ticket);
    if (known == waiting_.end())
        return;
    auto const queued = queue_.find(known->second);
    leave_wait(queued->second);
    queue_.erase(queued);
    waiting_.erase(known);
}

void service_scheduler::first_byte(ticket_id ticket, time_point now)
{
    auto const sent = sent_.find(ticket);
    if (sent == sent_.end() || sent->second.begun || sent->second.by_peer)
        return;
    sent->second.begun = true;
    if (worker_state* const worker = find(sent->second.worker))
        worker->health.first_byte(sent->second.sent_at, now);
}

void service_scheduler::ended(ticket_id ticket, send_outcome outcome,
                              time_point now)
{
    auto const found = sent_.find(ticket);
    if (found == sent_.end())
        return;
    sent_item const sent = found->second;
    sent_.erase(found);
    if (outcome == send_outcome::served)
        mean_service_ += duration(static_cast<duration::rep>(
            newest_weight *
            double((now - sent.sent_at - mean_service_).count())));
    worker_state* const worker = find(sent.worker);
    if (worker == nullptr)
        return;
    if (sent.by_peer)
        worker->granted -= worker->granted > 0;
    else
        worker->health.ended(outcome, sent.sent_at, now);
    if (sent.counted_use)
        worker->adapters.end_use(*sent.target, now);
    if (outcome == send_outcome::not_held && sent.target && worker->owned)
        worker->adapters.missing(*sent.target);
    if (outcome == send_outcome::not_held && sent.target && !worker->owned)
        for (held_model& held : worker->entry.models)
            held.adapters.erase(sent.target->adapter);
}

void service_scheduler::on_order(worker_id const& worker, order_outcome outcome,
                                 time_point now)
{
    if (worker_state* const known = find(worker))
        known->adapters.on_outcome(outcome, now);
}

void service_scheduler::on_report(worker_id const& worker,
                                  std::optional<worker_report> const& report,
                                  time_point now)
{
    worker_state* const known = find(worker);
    if (known == nullptr)
        return;
    known->adapters.on_report(report, now);
    for (auto const& [target, release] : releases_)
        known->adapters.outdate(target, release.version);
}

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
/// new one is being loaded.
bool service_scheduler::holds(worker_state const& worker,
                              model_target const& target, time_point now) const
{
    if (worker.owned && worker.adapters.known())
    {
        if (target.adapter.empty())
            return worker.adapters.has_model(target.model);
        if (worker.adapters.stage(target) != adapter_stage::resident)
            return false;
        return !worker.adapters.outdated(target) || !past_grace(target, now);
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
               (worker.adapters.can_take(*waiting.item.target) ||
                now < waiting.item.arrived_at + busy_home_wait);
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
    sent_item sent{on.entry.id, now, item.target, false, false, false};
    if (item.target && !item.target->adapter.empty() && on.owned)
    {
        on.adapters.begin_use(*item.target, now);
        sent.counted_use = true;
    }
    if (item.asked_for)
    {
        sent.by_peer = true;
        ++on.granted;
        ++counts_.granted;
        actions_.push_back(
            grant_ask{item.ticket, on.entry.id, load_of(on, now)});
        sent_.emplace(item.ticket, std::move(sent));
        return;
    }
    if (on.health.avoided(now))
        on.health.probed(now);
    on.health.sent(now);
    ++(on.owned ? loaded ? counts_.placed_after_load : counts_.placed_resident
                : counts_.placed_elsewhere);
    actions_.push_back(
        place_request{item.ticket, on.entry.id, on.entry,
                      on.owned ? loaded ? "loaded" : "resident" : "listed"});
    sent_.emplace(item.ticket, std::move(sent));
}

void service_scheduler::refuse(waiting_item const& waiting, error_kind kind,
                               duration retry_after, std::string_view reason)
{
    ++counts_.refused;
    actions_.push_back(
        refuse_request{waiting.item.ticket, kind, retry_after, reason});
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
        worker->health.avoided(now) || sick(*worker, now))
        return verdict::hopeless;
    model_target const& target = *waiting.item.target;
    if (worker_state* const holder = own_holder(waiting, now))
    {
        spread_load(*holder, waiting, now);
        place(waiting, *holder, now);
        leave_wait(waiting);
        return verdict::placed;
    }
    if (holds(*worker, target, now))
        return verdict::waits;
    if (!waiting.loads_at.empty() && worker->adapters.stage(target))
        return verdict::waits;
    leave_wait(waiting);
    if (!worker->adapters.may_order(now))
        return verdict::hopeless;
    return worker->adapters.synced() ? wait_at(waiting, *worker, now)
                                     : verdict::hopeless;
}

service_scheduler::verdict service_scheduler::wait_at(waiting_item& waiting,
                                                      worker_state& worker,
                                                      time_point now)
{
    if (!worker.adapters.can_take(*waiting.item.target))
        return verdict::waits;
    worker.adapters.want(*waiting.item.target, now);
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
    other->adapters.want(target, now);
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
        worker_state const* const loading = find(waiting.loads_at);
        if (loading != nullptr && loading->adapters.stage(target) &&
            !loading->entry.draining && !loading->health.avoided(now) &&
            !sick(*loading, now))
            return verdict::waits;
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
                                 *item.target, item.priority, item.give_up_at});
    asked_.insert_or_assign(
        item.ticket, asked_item{waiting, key, owner, worker.entry.id, now});
}

void service_scheduler::set_owners(std::map<worker_id, vm_id> owners)
{
    owners_ = std::move(owners);
}

/// Failure: an owner that is gone leaves all questions unanswered, and each
/// would wait for as long as a slow load may take; asked of another owner too
/// early, the adapter is fetched twice. An owner begins its answer at once, so
/// that silence and a slow load look different.
time_point service_scheduler::ask_ends_at(ticket_id ticket) const
{
    auto const asked = asked_.find(ticket);
    if (asked == asked_.end())
        return time_point();
    duration const limit = asked->second.heard
                               ? owner_answers
                               : peers_.at(asked->second.owner).patience();
    return asked->second.asked_at + limit;
}

void service_scheduler::on_owner_heard(ticket_id ticket, time_point now)
{
    auto const asked = asked_.find(ticket);
    if (asked == asked_.end())
        return;
    asked->second.heard = true;
    peers_[asked->second.owner].first_byte(asked->second.asked_at, now);
}

bool service_scheduler::on_owner(ticket_id ticket, ask_outcome outcome,
                                 worker_id const& granted, double load,
                                 time_point now)
{
    auto const found = asked_.find(ticket);
    if (found == asked_.end())
        return false;
    asked_item asked = std::move(found->second);
    asked_.erase(found);
    bool const answered =
        outcome == ask_outcome::granted || outcome == ask_outcome::refused;
    peers_[asked.owner].ended(answered ? send_outcome::served
                              : outcome == ask_outcome::silent
                                  ? send_outcome::silent
                                  : send_outcome::unreachable,
                              asked.asked_at, now);
    worker_state* const worker = find(granted.empty() ? asked.worker : granted);
    if (worker != nullptr && answered)
    {
        worker->told_load = load;
        worker->told_until = now + told_load_age;
    }
    work_item const& item = asked.waiting.item;
    // Failure: the owner hears later than this VM that a worker leaves, and
    // its grant sends a request there after the bound.
    bool const usable_grant = outcome == ask_outcome::granted &&
                              worker != nullptr && !worker->entry.draining;
    if (usable_grant)
    {
        worker->health.sent(now);
        ++counts_.placed_granted;
        actions_.push_back(place_request{item.ticket, worker->entry.id,
                                         worker->entry, "granted"});
        sent_.emplace(item.ticket, sent_item{worker->entry.id, now, item.target,
                                             false, false, false});
        return true;
    }
    asked.waiting.said_no.insert(asked.worker);
    waiting_.emplace(item.ticket, asked.key);
    queue_.emplace(asked.key, std::move(asked.waiting));
    return false;
}

/// Little's law over what this VM's workers run at a time.
duration service_scheduler::expected_wait(std::size_t ahead) const
{
    std::size_t room = 0;
    for (auto const& [id, worker] : workers_)
        if (!worker->entry.draining)
            room += limit_of(*worker);
    if (room == 0)
        return longest_retry;
    return duration(static_cast<duration::rep>(double(mean_service_.count()) *
                                               double(ahead) / double(room)));
}

bool service_scheduler::too_late(waiting_item const& waiting, std::size_t ahead,
                                 time_point now) const
{
    auto const left = waiting.item.give_up_at - now;
    return double(expected_wait(ahead).count()) >
               wait_share * double(left.count()) ||
           now - waiting.item.arrived_at >
               (waiting.item.give_up_at - waiting.item.arrived_at) / 2;
}

/// Load it answers: more arrives than the workers can run, for seconds. The
/// most urgent first, within a rank the oldest; whoever cannot be served in
/// time is told so at once, with the time after which the queue that there is
/// now will be gone.
void service_scheduler::run_queue(time_point now)
{
    std::set<model_target> stuck;
    std::vector<queue_key> done;
    std::size_t ahead = 0;
    for (auto& [key, waiting] : queue_)
    {
        work_item const& item = waiting.item;
        bool const known_stuck = item.target && item.excluded.empty() &&
                                 !waiting.loads_at.empty() &&
                                 stuck.count(*item.target) > 0;
        verdict const decided =
            known_stuck ? verdict::waits : decide(waiting, key, now);
        if (decided == verdict::placed || decided == verdict::asked)
        {
            done.push_back(key);
            continue;
        }
        if (decided == verdict::hopeless)
        {
            refuse(waiting, error_kind::back_end_unavailable, elsewhere_retry,
                   "no worker can serve it here");
            done.push_back(key);
            continue;
        }
        if (item.target)
            stuck.insert(*item.target);
        ++ahead;
        if (ahead > settings_.max_waiting || too_late(waiting, ahead, now))
        {
            refuse(waiting, error_kind::overloaded,
                   std::clamp<duration>(expected_wait(ahead), least_retry,
                                        longest_retry),
                   "the queue is too long for its deadline");
            done.push_back(key);
        }
    }
    for (queue_key const& key : done)
    {
        auto const queued = queue_.find(key);
        leave_wait(queued->second);
        waiting_.erase(queued->second.item.ticket);
        queue_.erase(queued);
    }
}

/// A worker that starts empty is given the model that is asked for most.
void service_scheduler::want_model(worker_state& worker, time_point now)
{
    if (!config_.engine || config_.engine->models.empty())
        return;
    std::erase_if(weight_loads_, [now](time_point each)
                  { return each + weight_window <= now; });
    double const share = config_.engine->weight_loads_per_second *
                         std::chrono::duration<double>(weight_window).count() /
                         double(vms_);
    if (double(weight_loads_.size()) >= std::max(1.0, std::floor(share)))
        return;
    std::map<base_model_id, std::size_t> copies;
    for (auto const& [id, each] : workers_)
        for (held_model const& held : each->entry.models)
            ++copies[held.model];
    base_model const* best = &config_.engine->models.front();
    for (base_model const& each : config_.engine->models)
        if (copies[each.name] < copies[best->name])
            best = &each;
    weight_loads_.push_back(now);
    worker.adapters.want_model(best->name);
}

void service_scheduler::run_workers(time_point now)
{
    if (!config_.engine)
        return;
    auto const keep = [this, now](model_target const& target)
    { return demand_.rate(demand_key(target), now); };
    for (auto& [id, worker] : workers_)
    {
        if (!worker->owned)
            continue;
        if (worker->adapters.wants_report(now))
        {
            worker->adapters.report_asked();
            actions_.push_back(ask_report{id, worker->entry});
        }
        if (!worker->adapters.synced() || !worker->adapters.may_order(now) ||
            worker->entry.draining)
            continue;
        if (!worker->adapters.holds_any_model() &&
            !worker->adapters.wants_model())
            want_model(*worker, now);
        if (auto order = worker->adapters.next_order(id, keep, now))
            actions_.push_back(give_order{std::move(*order), worker->entry});
    }
}

std::vector<placement_action> service_scheduler::run(time_point now)
{
    run_queue(now);
    run_workers(now);
    return std::exchange(actions_, {});
}

time_point service_scheduler::next_due() const
{
    time_point next = never;
    for (auto const& [id, worker] : workers_)
        if (worker->owned)
            next = std::min(next, worker->adapters.next_due());
    for (auto const& [key, waiting] : queue_)
    {
        time_point const review =
            waiting.item.arrived_at +
            (waiting.item.give_up_at - waiting.item.arrived_at) / 2;
        next = std::min(next, review);
    }
    return next;
}

scheduler_counts service_scheduler::counts() const
{
    scheduler_counts counts = counts_;
    counts.waiting = queue_.size();
    counts.sent = sent_.size();
    counts.asked = asked_.size();
    for (auto const& [id, worker] : workers_)
    {
        counts.cold_loads += worker->adapters.cold_loads();
        counts.warm_loads += worker->adapters.warm_loads();
        counts.evictions += worker->adapters.evictions();
    }
    return counts;
}

duration service_scheduler::patience(worker_id const& worker) const
{
    auto const known = workers_.find(worker);
    return known == workers_.end() ? std::chrono::seconds(1)
                                   : known->second->health.patience();
}

} // namespace mulberry
