#include "service_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A request is turned away when the expected wait takes more than that share
/// of the time that it has left: the rest is for the answer itself, and for
/// the caller to come back elsewhere.
constexpr double wait_share = 0.5;
/// What an owner refused, it is asked for again after this: by then some of
/// what its workers were busy with is over.
constexpr milliseconds refusal_valid{500};
/// An owner that has begun to answer does so in the end once the adapter is
/// loaded, which takes several times longer than usual while many are fetched.
constexpr milliseconds owner_answers{2000};
constexpr milliseconds least_retry{100};
constexpr milliseconds longest_retry{1500};
/// The window that loads of weights are counted in.
constexpr milliseconds weight_window{5000};
constexpr double newest_weight = 0.05;

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

adapter_ref service_scheduler::demand_key(model_target const& target) const
{
    return {adapter_id(target.model.str() + "/" + target.adapter.str()),
            adapter_version(1)};
}

void service_scheduler::submit(work_item item, time_point now)
{
    if (item.target && !item.target->adapter.empty() && item.excluded.empty())
        demand_.observe(demand_key(*item.target), now);
    queue_key const key{item.priority, ++last_number_};
    waiting_.emplace(item.ticket, key);
    queue_.emplace(key, waiting_item{std::move(item), {}, {}});
}

void service_scheduler::leave_wait(waiting_item& waiting)
{
    if (waiting.loads_at.empty())
        return;
    if (worker_state* const worker = find(waiting.loads_at))
        worker->adapters.end_wait(*waiting.item.target);
    waiting.loads_at = {};
}

void service_scheduler::withdraw(ticket_id ticket, time_point now)
{
    // Failure: a question that was dropped stays open in the owner's record;
    // the owner looks silent from then on and is never asked again.
    if (auto const asked = asked_.find(ticket); asked != asked_.end())
    {
        peers_[asked->second.owner].ended(send_outcome::abandoned,
                                          asked->second.asked_at, now);
        asked_.erase(asked);
    }
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
    sent_item const& begun = sent->second;
    pace_.observe(begun.prompt_tokens, begun.expected_at - begun.sent_at,
                  now - begun.sent_at);
    worker_state* const worker = find(begun.worker);
    if (worker == nullptr)
        return;
    worker->reading.on_first_byte(begun.sent_at, now);
    worker->health.first_byte(begun.sent_at, now);
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
    if (worker == nullptr || worker->entry.started != sent.started)
        return;
    if (sent.by_peer)
    {
        worker->granted -= worker->granted > 0;
        worker->health.on_peer_outcome(outcome, now);
    }
    else
        worker->health.ended(outcome, sent.sent_at, now);
    if (sent.counted_use)
        worker->adapters.end_use(*sent.target, now);
    if (outcome == send_outcome::not_held && sent.target && worker->owned)
        worker->adapters.on_adapter_missing(*sent.target, now);
    if (outcome == send_outcome::not_held && sent.target)
        sightings_.remove(*sent.target, sent.worker);
    if (outcome == send_outcome::not_held && sent.target && !worker->owned)
        for (held_model& held : worker->entry.models)
            held.adapters.erase(sent.target->adapter);
}

bool service_scheduler::on_order(worker_order const& order,
                                 order_outcome outcome, time_point now)
{
    worker_state* const known = find(order.worker);
    return known != nullptr && known->adapters.awaits_outcome(order) &&
           known->adapters.on_outcome(outcome, now);
}

void service_scheduler::refuse(waiting_item const& waiting, error_kind kind,
                               duration retry_after, std::string_view reason,
                               time_point now)
{
    ++counts_.refused;
    worker_state* const asked =
        waiting.item.asked_for ? find(*waiting.item.asked_for) : nullptr;
    actions_.push_back(refuse_request{waiting.item.ticket, kind, retry_after,
                                      reason, asked ? load_of(*asked) : 1});
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
                               : peers_.at(asked->second.owner).first_byte_timeout();
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
                                 granted_copy const& granted, time_point now)
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
    worker_state* const worker =
        find(granted.worker.empty() ? asked.worker : granted.worker);
    work_item const& item = asked.waiting.item;
    // Failure: the owner hears later than this VM that a worker leaves, and
    // its grant sends a request there after the bound. So with a version.
    bool const too_old =
        granted.version != adapter_version() &&
        granted.version < releases_.oldest_allowed(*item.target, now);
    bool const usable_grant = outcome == ask_outcome::granted &&
                              worker != nullptr && !worker->entry.draining &&
                              !rests(*worker, now) && !too_old;
    if (usable_grant)
    {
        ++counts_.placed_granted;
        sightings_.record(*item.target, worker->entry.id, now);
        worker->adapters.record_resident(*item.target);
        actions_.push_back(place_request{
            item.ticket, worker->entry.id, worker->entry, "granted",
            required_version(item.target, granted.version, now)});
        auto& placed = std::get<place_request>(actions_.back());
        placed.prefix_source =
            prefix_source(item, *worker, placed.version, now);
        placed.replaced = replaced(item.target, granted.version);

        sent_item sent;
        sent.worker = worker->entry.id;
        sent.target = item.target;
        sent.copy = std::max(placed.version, granted.version);
        note_send(*worker, item, std::move(sent), now);
        return true;
    }
    asked.waiting.said_no[asked.owner] = now + refusal_valid;
    waiting_.emplace(item.ticket, asked.key);
    queue_.emplace(asked.key, std::move(asked.waiting));
    return false;
}

void service_scheduler::note_send(worker_state& worker, work_item const& item,
                                  sent_item sent, time_point now)
{
    sent.sent_at = now;
    sent.started = worker.entry.started;
    sent.prompt_tokens = item.prompt_tokens;
    worker.reading.add(pace_.prefill_time(item.prompt_tokens), now);
    sent.expected_at = worker.reading.ends_at();
    sent.streams = item.streams;
    if (item.target)
        limit_begin(sent, releases_.superseded_at(*item.target, sent.copy));
    worker.health.sent(now, worker.reading.ahead(now));
    sent_.emplace(item.ticket, std::move(sent));
}

/// Little's law over what this VM's workers run at a time.
duration service_scheduler::expected_wait(std::size_t ahead,
                                          time_point now) const
{
    std::size_t room = 0;
    for (auto const& [id, worker] : workers_)
        if (!worker->entry.draining && !rests(*worker, now))
            room += limit_of(*worker);
    if (room == 0)
    {
        duration const rest = rest_left(std::nullopt, now);
        return rest > duration(0) ? rest : longest_retry;
    }
    return duration(static_cast<duration::rep>(double(mean_service_.count()) *
                                               double(ahead) / double(room)));
}

bool service_scheduler::too_late(waiting_item const& waiting, std::size_t ahead,
                                 time_point now) const
{
    auto const left = waiting.item.give_up_at - now;
    return double(expected_wait(ahead, now).count()) >
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
    for (auto& [id, worker] : workers_)
        worker->queued = 0;
    std::set<model_target> stuck;
    std::vector<queue_key> done;
    std::size_t ahead = 0;
    for (auto& [key, waiting] : queue_)
    {
        work_item const& item = waiting.item;
        worker_state* const loading = item.target && item.excluded.empty() &&
                                              stuck.count(*item.target) > 0
                                          ? find(waiting.loads_at)
                                          : nullptr;
        bool const known_stuck =
            loading != nullptr && goes_on_waiting(*loading, waiting, now);
        if (known_stuck)
            ++loading->queued;
        verdict const decided =
            known_stuck ? verdict::waits : decide(waiting, key, now);
        if (decided == verdict::placed || decided == verdict::asked)
        {
            done.push_back(key);
            continue;
        }
        if (decided == verdict::hopeless)
        {
            refuse_hopeless(waiting, now);
            done.push_back(key);
            continue;
        }
        if (item.target)
            stuck.insert(*item.target);
        ++ahead;
        if (ahead > settings_.max_waiting || too_late(waiting, ahead, now))
        {
            refuse(waiting, error_kind::overloaded,
                   std::clamp<duration>(expected_wait(ahead, now), least_retry,
                                        longest_retry),
                   "the queue is too long for its deadline", now);
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

/// Failure: a worker goes dark for a second and is avoided. What it holds is
/// loaded elsewhere meanwhile, so that no request comes to try it again, and it
/// stays unused for good. Its owner asks an avoided worker how it is instead.
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
    worker.adapters.request_model(best->name);
}

void service_scheduler::run_workers(time_point now)
{
    if (!config_.engine)
        return;
    auto const keep = [this, now](model_target const& target)
    { return demand_.rate(demand_key(target), now); };
    for (auto& [id, worker] : workers_)
    {
        if (now >= worker->entry_lapses_at)
            forget_life_before(*worker);
        if (!worker->owned || rests(*worker, now))
            continue;
        bool const unsynced = worker->adapters.needs_report(now);
        if (unsynced)
            worker->adapters.on_report_requested();
        bool const probes =
            worker->health.is_unreachable(now) && worker->health.may_probe(now);
        if (probes)
            worker->health.on_probe_sent(now);
        if (unsynced || probes)
            actions_.push_back(ask_report{id, worker->entry});
        if (!worker->adapters.synced() || !worker->adapters.may_order(now) ||
            worker->entry.draining)
            continue;
        if (!worker->adapters.holds_any_model() &&
            !worker->adapters.is_model_requested() &&
            !waits_to_be_listed(*worker, now))
            want_model(*worker, now);
        if (auto order = worker->adapters.next_order(id, keep, now))
            actions_.push_back(give_order{std::move(*order), worker->entry});
    }
}

std::vector<placement_action> service_scheduler::run(time_point now)
{
    decided_at_ = now;
    notices_.forget_past(now);
    withdraw_unbegun(now);
    run_queue(now);
    run_workers(now);
    return std::exchange(actions_, {});
}

time_point service_scheduler::next_due() const
{
    time_point next = begin_by_;
    if (!queue_.empty())
        next = std::min(next, notices_.next_backoff_end(decided_at_));
    for (auto const& [id, worker] : workers_)
        if (worker->owned)
        {
            // One that leaves is given no order.
            if (!worker->entry.draining)
                next = std::min(next, std::max(worker->adapters.next_due(),
                                               notices_.backoff_until(id)));
            if (!worker->held_before.empty())
                next = std::min(next, worker->entry_lapses_at);
        }
    for (auto const& [key, waiting] : queue_)
    {
        time_point const review =
            waiting.item.arrived_at +
            (waiting.item.give_up_at - waiting.item.arrived_at) / 2;
        next = std::min(next, review);
        if (waiting.review_at > decided_at_)
            next = std::min(next, waiting.review_at);
        for (auto const& [owner, until] : waiting.said_no)
            if (until > decided_at_)
                next = std::min(next, until);
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

duration service_scheduler::first_byte_timeout(worker_id const& worker) const
{
    auto const known = workers_.find(worker);
    return known == workers_.end() ? std::chrono::seconds(1)
                                   : known->second->health.first_byte_timeout();
}

} // namespace mulberry
