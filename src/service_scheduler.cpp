#include "service_scheduler.hpp"

#include "placement.hpp"
#include "rename_key.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// A request is rejected if the expected wait exceeds this share of its
/// remaining time. The rest is left for the answer itself, or for a retry of
/// the caller elsewhere.
constexpr double max_wait_share = 0.5;
/// An owner that refused a grant may be asked again after this time, when some
/// requests at its workers have ended.
constexpr milliseconds refusal_lifetime{500};
/// Timeout for an owner that has started to answer. The owner completes the
/// answer when the adapter is loaded, which takes several times longer than
/// usual while many adapters are fetched.
constexpr milliseconds started_answer_timeout{2000};
/// An owner refuses a bound request before the VM that asks takes the owner for
/// silent.
constexpr milliseconds max_bound_grant_wait{1500};
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{1500};
/// Weight of a new sample in the moving average of service times.
constexpr double service_time_smoothing = 0.05;

} // namespace

service_scheduler::service_scheduler(scheduler_settings settings,
                                     service_config config)
    : settings_(std::move(settings)), config_(std::move(config)),
      rejections_(settings_.vm, stable_hash(settings_.vm.str())),
      weight_loads_(settings_.started_at)
{
}

service_scheduler::~service_scheduler() = default;

void service_scheduler::configure(service_config config)
{
    config_ = std::move(config);
    for (auto& [id, worker] : workers_)
        worker->adapters.configure(adapter_settings());
}

void service_scheduler::admit_by_delay(std::optional<duration> objective)
{
    if (!objective)
        admission_.reset();
    else if (admission_)
        admission_->set_objective(*objective);
    else
        admission_.emplace(*objective, stable_hash(settings_.vm.str()));
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
    if (queue_.empty() && pending_grants_.empty())
        starts_.on_idle(now);
    waiting_item waiting;
    waiting.item = std::move(item);
    waiting.admitted = waiting.item.admitted;
    waiting.bound = is_bound(waiting.item);
    tag_by_share(waiting);
    queue_key const key{!waiting.bound, false, waiting.item.priority,
                        waiting.tag, ++last_number_};
    waiting_.emplace(waiting.item.ticket, key);
    queue_.emplace(key, std::move(waiting));
}

void service_scheduler::stop_waiting_for_load(waiting_item& waiting)
{
    if (waiting.loading_worker.empty())
        return;
    if (worker_state* const worker = find(waiting.loading_worker))
        worker->adapters.end_wait(*waiting.item.target);
    waiting.loading_worker = {};
}

void service_scheduler::set_wait_cause(waiting_item& waiting, wait_cause cause)
{
    if (std::exchange(waiting.cause, cause) != cause)
        wait_changes_.emplace_back(waiting.item.ticket, cause);
}

void service_scheduler::update_wait_cause(waiting_item& waiting)
{
    set_wait_cause(waiting,
                   !waiting.loading_worker.empty()  ? wait_cause::adapter_load
                   : !waiting.refused_until.empty() ? wait_cause::owner_grant
                                                    : wait_cause::batch_slot);
}

void service_scheduler::withdraw(ticket_id ticket, time_point now)
{
    // Ends the grant request in the owner's health record as well. Otherwise
    // the request would stay open there, and the owner would look silent and
    // never be asked again.
    if (auto const asked = pending_grants_.find(ticket);
        asked != pending_grants_.end())
    {
        peers_[asked->second.owner].ended(send_outcome::abandoned,
                                          asked->second.asked_at, now);
        drop_share(asked->second.waiting);
        pending_grants_.erase(asked);
    }
    auto const known = waiting_.find(ticket);
    if (known == waiting_.end())
        return;
    auto const queued = queue_.find(known->second);
    stop_waiting_for_load(queued->second);
    drop_share(queued->second);
    queue_.erase(queued);
    waiting_.erase(known);
}

void service_scheduler::first_byte(ticket_id ticket, time_point now)
{
    auto const sent = sent_.find(ticket);
    if (sent == sent_.end() || sent->second.begun || sent->second.by_peer)
        return;
    sent->second.begun = true;
    rejections_.on_accepted(ticket, now);
    sent_item const& begun = sent->second;
    prefill_rate_.observe(begun.prompt_tokens,
                          begun.expected_at - begun.sent_at,
                          now - begun.sent_at);
    worker_state* const worker = find(begun.worker);
    if (worker == nullptr)
        return;
    if (admission_)
        admission_->on_answer(begun.worker, now - begun.sent_at, now);
    worker->backlog.on_first_byte(begun.sent_at, now);
    worker->health.first_byte(begun.sent_at, now);
}

/// Of a granted request, the owner of the worker keeps account.
void service_scheduler::record_room(sent_item const& sent, ticket_id ticket,
                                    send_outcome outcome, time_point now)
{
    worker_state const* const worker = find(sent.worker);
    if (outcome == send_outcome::full && worker != nullptr && !sent.granted)
        rejections_.on_rejected(ticket, room_of(*worker), now);
    else if (outcome == send_outcome::served)
        rejections_.on_accepted(ticket, now);
    else
        rejections_.on_given_up(ticket);
}

void service_scheduler::on_rejection_notice(rejection_notice const& notice,
                                            time_point now)
{
    if (worker_state const* const worker = find(notice.worker))
        rejections_.on_notice(notice, room_of(*worker), now);
}

std::vector<std::pair<rejection_notice, std::vector<vm_id>>>
service_scheduler::take_rejection_notices()
{
    std::vector<std::pair<rejection_notice, std::vector<vm_id>>> addressed;
    for (rejection_notice const& each : rejections_.take_notices())
        addressed.emplace_back(each, rejections_.others_at(each.worker));
    return addressed;
}

void service_scheduler::move_sent(ticket_id from, ticket_id to)
{
    rename_key(sent_, from, to);
    memory_.move(from, to);
    rejections_.move(from, to);
}

void service_scheduler::ended(ticket_id ticket, send_outcome outcome,
                              time_point now)
{
    auto const found = sent_.find(ticket);
    if (found == sent_.end())
        return;
    sent_item const sent = found->second;
    sent_.erase(found);
    memory_.release(ticket);
    if (outcome == send_outcome::served)
        mean_service_time_ += duration(static_cast<duration::rep>(
            service_time_smoothing *
            double((now - sent.sent_at - mean_service_time_).count())));
    if (admission_ && outcome == send_outcome::full)
        admission_->on_full(sent.worker, now);
    record_room(sent, ticket, outcome, now);
    worker_state* const worker = find(sent.worker);
    if (worker == nullptr || worker->entry.started != sent.started)
        return;
    if (sent.by_peer)
    {
        worker->granted -= worker->granted > 0;
        if (outcome == send_outcome::abandoned)
            worker->backlog.remove(sent.sent_at, now);
        worker->health.on_peer_outcome(outcome, now);
    }
    else
        worker->health.ended(outcome, sent.sent_at, now);
    if (sent.counted_use)
        worker->adapters.end_use(*sent.target, now);
    if (outcome == send_outcome::not_held && sent.target && worker->owned)
        worker->adapters.on_adapter_missing(*sent.target, now);
    if (outcome == send_outcome::not_held && sent.target)
        adapter_locations_.remove(*sent.target, sent.worker);
    if (outcome == send_outcome::not_held && sent.target && !worker->owned)
        for (held_model& held : worker->entry.models)
            held.adapters.erase(sent.target->adapter);
}

void service_scheduler::not_sent(ticket_id ticket, time_point now)
{
    auto const found = sent_.find(ticket);
    if (found == sent_.end())
        return;
    if (worker_state* const worker = find(found->second.worker))
        worker->backlog.remove(found->second.sent_at, now);
    ended(ticket, send_outcome::abandoned, now);
}

bool service_scheduler::on_order(worker_order const& order,
                                 order_outcome outcome, time_point now)
{
    worker_state* const known = find(order.worker);
    return known != nullptr && known->adapters.awaits_outcome(order) &&
           known->adapters.on_outcome(outcome, now);
}

void service_scheduler::reject(waiting_item const& waiting, error_kind kind,
                               duration retry_after, std::string_view reason)
{
    ++counts_.refused;
    drop_share(waiting);
    worker_state* const asked = waiting.item.requested_worker
                                    ? find(*waiting.item.requested_worker)
                                    : nullptr;
    actions_.push_back(reject_request{waiting.item.ticket, kind, retry_after,
                                      reason,
                                      asked ? batch_utilization(*asked) : 1});
}

void service_scheduler::set_owners(std::map<worker_id, vm_id> owners)
{
    owners_ = std::move(owners);
}

/// Distinguishes a dead owner from a slow load. A dead owner answers nothing,
/// and each request would wait for the longest load; asking another owner too
/// early fetches the adapter twice. An owner therefore starts its answer at
/// once, and has a longer timeout from then on.
time_point service_scheduler::grant_deadline(ticket_id ticket) const
{
    auto const asked = pending_grants_.find(ticket);
    if (asked == pending_grants_.end())
        return time_point();
    duration const limit =
        asked->second.answer_started
            ? started_answer_timeout
            : peers_.at(asked->second.owner).first_byte_timeout();
    return asked->second.asked_at + limit;
}

void service_scheduler::on_grant_answer_started(ticket_id ticket,
                                                time_point now)
{
    auto const asked = pending_grants_.find(ticket);
    if (asked == pending_grants_.end())
        return;
    asked->second.answer_started = true;
    peers_[asked->second.owner].first_byte(asked->second.asked_at, now);
}

bool service_scheduler::on_grant_answer(ticket_id ticket, grant_outcome outcome,
                                        granted_copy const& granted,
                                        time_point now)
{
    auto const found = pending_grants_.find(ticket);
    if (found == pending_grants_.end())
        return false;
    pending_grant asked = std::move(found->second);
    pending_grants_.erase(found);
    bool const answered =
        outcome == grant_outcome::granted || outcome == grant_outcome::refused;
    peers_[asked.owner].ended(answered ? send_outcome::served
                              : outcome == grant_outcome::silent
                                  ? send_outcome::silent
                                  : send_outcome::unreachable,
                              asked.asked_at, now);
    worker_state* const worker =
        find(granted.worker.empty() ? asked.worker : granted.worker);
    work_item const& item = asked.waiting.item;
    // The owner may learn later than this VM that a worker drains or that a
    // version is superseded. Its grant must not send a request to such a worker
    // or copy after the bound.
    bool const too_old =
        granted.version != adapter_version() &&
        granted.version < version_history_.oldest_allowed(*item.target, now);
    bool const usable_grant = outcome == grant_outcome::granted &&
                              worker != nullptr && !worker->entry.draining &&
                              !is_excluded(*worker, item) &&
                              !is_paused(*worker, now) && !too_old;
    if (usable_grant)
    {
        ++counts_.placed_granted;
        starts_.on_start(now);
        count_share(asked.waiting);
        adapter_locations_.record(*item.target, worker->entry.id, now);
        worker->adapters.record_resident(*item.target);
        actions_.push_back(place_request{
            item.ticket, worker->entry.id, worker->entry, "granted",
            required_version(item.target, granted.version, now)});
        auto& placed = std::get<place_request>(actions_.back());
        placed.prefix_source =
            prefix_source(item, *worker, placed.version, now);
        placed.superseded = find_superseded(item.target, granted.version);

        sent_item sent;
        sent.worker = worker->entry.id;
        sent.target = item.target;
        sent.copy_version = std::max(placed.version, granted.version);
        sent.granted = true;
        record_send(*worker, item, std::move(sent), now);
        return true;
    }
    asked.waiting.refused_until[asked.owner] = now + refusal_lifetime;
    waiting_.emplace(item.ticket, asked.key);
    queue_.emplace(asked.key, std::move(asked.waiting));
    return false;
}

void service_scheduler::record_send(worker_state& worker, work_item const& item,
                                    sent_item sent, time_point now)
{
    if (!sent.granted)
        rejections_.on_sent(item.ticket, room_of(worker), now);
    sent.sent_at = now;
    sent.started = worker.entry.started;
    sent.prompt_tokens = item.prompt_tokens;
    worker.backlog.add(prefill_rate_.prefill_time(item.prompt_tokens), now);
    sent.expected_at = worker.backlog.ends_at();
    sent.streams = item.streams;
    if (item.target)
        limit_start(sent, version_history_.superseded_at(*item.target,
                                                         sent.copy_version));
    worker.health.sent(now, worker.backlog.ahead(now));
    reserve_memory(worker, item);
    sent_.emplace(item.ticket, std::move(sent));
}

/// Little's law, applied to the concurrent requests that this VM may have at
/// the workers.
duration service_scheduler::expected_wait(std::size_t ahead,
                                          time_point now) const
{
    std::size_t capacity = 0;
    for (auto const& [id, worker] : workers_)
        if (!worker->entry.draining && !is_paused(*worker, now))
            capacity += request_limit(*worker);
    if (capacity == 0)
    {
        duration const pause = remaining_pause(std::nullopt, now);
        return pause > duration(0) ? pause : max_retry_after;
    }
    return duration(static_cast<duration::rep>(
        double(mean_service_time_.count()) * double(ahead) / double(capacity)));
}

time_point service_scheduler::latest_wait_end(waiting_item const& waiting)
{
    work_item const& item = waiting.item;
    auto const time = item.give_up_at - item.arrived_at;
    // Elsewhere a bound request would wait again, behind others.
    time_point const end =
        item.arrived_at + (waiting.bound ? time * 3 / 4 : time / 2);
    bool const is_asked_for = waiting.bound && item.requested_worker;
    return is_asked_for
               ? std::min(end, item.arrived_at + duration(max_bound_grant_wait))
               : end;
}

/// A request past its objective that would begin in the last half of its time
/// is rejected at once: what begins within its objective goes before it.
bool service_scheduler::too_late(waiting_item const& waiting, std::size_t ahead,
                                 time_point now) const
{
    auto const left = waiting.item.give_up_at - now;
    if (auto const wait = starts_.wait(ahead, now);
        waiting.late && wait &&
        double(wait->count()) > max_wait_share * double(left.count()))
        return true;
    return double(expected_wait(ahead, now).count()) >
               max_wait_share * double(left.count()) ||
           now >= latest_wait_end(waiting);
}

/// A request that was sent before has used its place already.
bool service_scheduler::admit(waiting_item& waiting, time_point now)
{
    if (admission_)
        admission_->set_workers(workers_.size());
    if (!admission_ || std::exchange(waiting.admitted, true) ||
        !waiting.item.excluded.empty() ||
        admission_->admit(waiting.item.team, waiting.item.team_weight,
                          waiting.item.objective_at <= now, now))
        return true;
    reject(waiting, error_kind::overloaded,
           admission_->retry_after(waiting.item.give_up_at, now),
           "the workers answer too late");
    return false;
}

duration service_scheduler::queue_retry_after(std::size_t ahead,
                                              time_point now) const
{
    std::optional<duration> const forecast =
        by_objective_ ? starts_.wait(ahead, now) : std::nullopt;
    duration const wait = forecast ? *forecast : expected_wait(ahead, now);
    return std::clamp<duration>(wait, min_retry_after, max_retry_after);
}

/// Load it answers: more requests than the workers can begin within their
/// objectives. In the order of arrival, each waits for those before it, and all
/// begin late; those that are late already lose little by waiting longer.
void service_scheduler::demote_late_requests(time_point now)
{
    if (!by_objective_)
        return;
    std::vector<queue_key> late;
    for (auto const& [key, waiting] : queue_)
    {
        if (!key.flexible)
            continue;
        if (key.late)
            break;
        if (now + prefill_rate_.prefill_time(waiting.item.prompt_tokens) >
            waiting.item.objective_at)
            late.push_back(key);
    }
    for (queue_key const& key : late)
    {
        auto demoted = queue_.extract(key);
        demoted.key().late = true;
        demoted.mapped().late = true;
        waiting_.at(demoted.mapped().item.ticket) = demoted.key();
        queue_.insert(std::move(demoted));
    }
    counts_.demoted_late += late.size();
}

void service_scheduler::schedule_by_objective(bool enabled)
{
    if (by_objective_ && !enabled)
        forget_objective_order();
    by_objective_ = enabled;
}

/// Otherwise the requests that are late when a new configuration turns the
/// switch off would stay behind all later ones.
void service_scheduler::forget_objective_order()
{
    std::map<queue_key, waiting_item> queue;
    for (auto& [key, waiting] : queue_)
    {
        queue_key const restored{key.flexible, false, key.priority, 0,
                                 key.number};
        waiting.late = false;
        waiting_.at(waiting.item.ticket) = restored;
        queue.emplace(restored, std::move(waiting));
    }
    queue_ = std::move(queue);
    for (auto& [ticket, asked] : pending_grants_)
    {
        asked.key.late = false;
        asked.key.tag = 0;
        asked.waiting.late = false;
    }
    for (auto& [id, worker] : workers_)
        worker->adapters.clear_load_deadlines();
}

void service_scheduler::rank_loads()
{
    if (!by_objective_)
        return;
    for (auto& [id, worker] : workers_)
        if (worker->owned)
            worker->adapters.clear_load_deadlines();
    for (auto const& [key, waiting] : queue_)
        if (worker_state* const worker =
                key.late || waiting.loading_worker.empty()
                    ? nullptr
                    : find(waiting.loading_worker))
            worker->adapters.add_load_deadline(*waiting.item.target,
                                               waiting.item.objective_at);
}

/// Decides on all waiting requests: those first that are bound to the workers
/// of a version, then by priority and by age; where objectives count, those
/// past their objectives come last, and the requests of teams are ordered by
/// their shares instead of their age. When more requests arrive than the
/// workers can run, requests that cannot be served in time are rejected at
/// once, with the expected time to drain the current queue as Retry-After.
void service_scheduler::run_queue(time_point now)
{
    demote_late_requests(now);
    memory_.clear_claims();
    for (auto& [id, worker] : workers_)
    {
        worker->queued = 0;
        worker->reserved = false;
    }
    std::set<model_target> blocked_targets;
    std::vector<queue_key> done;
    std::size_t ahead = 0;
    for (auto& [key, waiting] : queue_)
    {
        work_item const& item = waiting.item;
        if (!admit(waiting, now))
        {
            done.push_back(key);
            continue;
        }
        worker_state* const loading =
            item.target && item.excluded.empty() &&
                    blocked_targets.count(*item.target) > 0
                ? find(waiting.loading_worker)
                : nullptr;
        bool const known_blocked =
            loading != nullptr && should_keep_waiting(*loading, waiting, now);
        if (known_blocked)
            ++loading->queued;
        decision const decided =
            known_blocked ? decision::waits : decide(waiting, key, now);
        if (decided == decision::placed || decided == decision::grant_requested)
        {
            done.push_back(key);
            continue;
        }
        if (decided == decision::unservable)
        {
            reject_unservable(waiting, now);
            done.push_back(key);
            continue;
        }
        update_wait_cause(waiting);
        // Others may run where a bound request may not.
        if (item.target && !waiting.bound)
            blocked_targets.insert(*item.target);
        ++ahead;
        if (ahead > settings_.max_waiting || too_late(waiting, ahead, now))
        {
            counts_.rejected_late += waiting.late ? 1 : 0;
            reject(waiting, error_kind::overloaded,
                   queue_retry_after(ahead, now),
                   "the queue is too long for its deadline");
            done.push_back(key);
        }
    }
    for (queue_key const& key : done)
    {
        auto const queued = queue_.find(key);
        stop_waiting_for_load(queued->second);
        waiting_.erase(queued->second.item.ticket);
        queue_.erase(queued);
    }
    rank_loads();
}

/// Gives a worker that holds no model the one with the fewest copies, within
/// this VM's share of the service's limit of weight loads.
void service_scheduler::want_model(worker_state& worker, time_point now)
{
    if (!config_.engine || config_.engine->models.empty())
        return;
    time_point const next_start =
        weight_loads_.next_start(config_.engine->weight_loads_per_second, now);
    if (next_start > now)
    {
        next_weight_load_ = next_start;
        return;
    }
    std::map<base_model_id, std::size_t> copies;
    for (auto const& [id, each] : workers_)
        for (held_model const& held : each->entry.models)
            ++copies[held.model];
    base_model const* best = nullptr;
    for (base_model const& each : config_.engine->models)
        if (worker.adapters.fits_model(each.name) &&
            (best == nullptr || copies[each.name] < copies[best->name]))
            best = &each;
    if (best == nullptr)
        return;
    weight_loads_.on_started(now);
    worker.adapters.request_model(best->name);
}

/// Sends report requests, probes and orders to the workers of this VM.
///
/// An owned worker that is unreachable is probed with a report request.
/// Otherwise, after an outage of a second, the worker's adapters would be
/// loaded elsewhere, no request would try the worker again, and it would stay
/// unused.
void service_scheduler::run_workers(time_point now)
{
    next_weight_load_ = never;
    if (!config_.engine)
        return;
    auto const keep = [this, now](model_target const& target)
    { return demand_.rate(demand_key(target), now); };
    for (auto& [id, worker] : workers_)
    {
        if (now >= worker->old_entry_expires_at)
            forget_previous_incarnation(*worker);
        if (!worker->owned)
            continue;
        worker->owned_since = std::min(worker->owned_since, now);
        if (is_paused(*worker, now))
            continue;
        bool const unsynced = worker->adapters.needs_report(now);
        if (unsynced)
            worker->adapters.on_report_requested();
        bool const probes =
            worker->health.is_unreachable(now) && worker->health.may_probe(now);
        if (probes)
            worker->health.on_probe_sent(now);
        if (unsynced || probes)
            actions_.push_back(request_report{id, worker->entry});
        if (!worker->adapters.synced() || !worker->adapters.may_order(now) ||
            worker->entry.draining)
            continue;
        if (!worker->adapters.holds_any_model() &&
            !worker->adapters.is_model_requested() &&
            !must_wait_for_entry(*worker, now))
            want_model(*worker, now);
        if (auto order = worker->adapters.next_order(id, keep, now))
            actions_.push_back(issue_order{std::move(*order), worker->entry,
                                           worker->adapters.expectation()});
    }
}

std::vector<placement_action> service_scheduler::run(time_point now)
{
    decided_at_ = now;
    wait_changes_.clear();
    notices_.forget_past(now);
    rejections_.update(now);
    withdraw_overdue(now);
    run_queue(now);
    run_workers(now);
    return std::exchange(actions_, {});
}

time_point service_scheduler::next_due() const
{
    time_point next = std::min(next_start_deadline_, next_weight_load_);
    if (!queue_.empty())
        next = std::min({next, notices_.next_pause_end(decided_at_),
                         rejections_.next_change(decided_at_)});
    bool const late_waits = !queue_.empty() && queue_.rbegin()->first.late;
    for (auto const& [id, worker] : workers_)
        if (worker->owned)
        {
            // See must_not_fetch().
            if (time_point const until = worker->adapters.fetches_slow_until();
                late_waits && until > decided_at_)
                next = std::min(next, until);
            // A draining worker gets no orders.
            if (!worker->entry.draining)
                next = std::min(next, std::max(worker->adapters.next_due(),
                                               notices_.pause_of(id).until));
            if (!worker->previous_models.empty())
                next = std::min(next, worker->old_entry_expires_at);
        }
    for (auto const& [key, waiting] : queue_)
    {
        next = std::min(next, latest_wait_end(waiting));
        if (waiting.review_at > decided_at_)
            next = std::min(next, waiting.review_at);
        for (auto const& [owner, until] : waiting.refused_until)
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
    counts.asked = pending_grants_.size();
    if (admission_)
    {
        counts.refused_by_delay = admission_->refused();
        counts.refused_by_delay_share = admission_->refused_share();
    }
    for (auto const& [id, worker] : workers_)
    {
        counts.cold_loads += worker->adapters.cold_loads();
        counts.warm_loads += worker->adapters.warm_loads();
        counts.evictions += worker->adapters.evictions();
        if (worker->owned)
            counts.worker_tokens_held += memory_.held(id);
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
