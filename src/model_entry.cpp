#include "model_entry.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr double retry_budget_ratio = 0.1;
constexpr double max_saved_retries = 50;
constexpr duration owner_poll_interval = std::chrono::milliseconds(50);
constexpr duration default_retry_after = std::chrono::seconds(1);

/// How many workers that cannot load the adapter one routing decision skips.
constexpr int max_avoided_workers = 8;

bool has_usable_resident(worker_view const& worker, adapter_ref const& adapter)
{
    resident_view const* resident = worker.find(adapter);
    return resident != nullptr && resident->state != resident_state::evicting;
}

/// Whether the worker's owner cannot free an adapter slot, which lasts as long
/// as the table is unreachable. Adapters pinned by a previous owner become
/// evictable without the table.
bool stays_full(worker_view const& worker)
{
    return !worker.can_evict && !worker.can_accept_adapter();
}

bool is_misroute(error_kind kind)
{
    return kind == error_kind::not_owner || kind == error_kind::draining;
}

bool may_retry_elsewhere(error const& what)
{
    if (what.request_ran() != ran::no)
        return false;
    switch (what.kind())
    {
    case error_kind::not_owner:
    case error_kind::draining:
    case error_kind::overloaded:
    case error_kind::load_failed:
    case error_kind::back_end_unavailable:
    case error_kind::configuration_stale:
    case error_kind::unknown_model:
        return true;
    default:
        return false;
    }
}

} // namespace

model_entry::model_entry(entry_settings settings, routing_policy& policy,
                         cluster_view& view, local_owner& owner,
                         safeguards const& checks, id_source& ids)
    : settings_(std::move(settings)), policy_(&policy), view_(&view),
      owner_(&owner), checks_(&checks), ids_(&ids),
      budget_(retry_budget_ratio, max_saved_retries, settings_.seed)
{
}

void model_entry::submit(model_request request, time_point now,
                         action_list& actions)
{
    ++counts_.accepted;
    budget_.count_first_try();
    policy_->observe(request, now);
    request_id const id = request.id;
    auto const [found, added] = requests_.try_emplace(
        id, std::move(request),
        answer_relay(*checks_, settings_.progress_timeout, now),
        now + settings_.unowned_wait);
    if (!added)
        return;
    pending_request& pending = found->second;
    schedule_wake(pending, pending.request.deadline);
    route(pending, now, actions);
}

void model_entry::route(pending_request& pending, time_point now,
                        action_list& actions)
{
    if (now >= pending.request.deadline)
    {
        fail(pending,
             error(error_kind::deadline_passed,
                   "the deadline passed before a worker was free", ran::no),
             actions);
        return;
    }
    auto const chosen = choose_worker(pending, pending.excluded, now);
    worker_view const* worker = chosen ? view_->find(*chosen) : nullptr;
    if (worker != nullptr && !worker->owner.empty())
    {
        send(pending, *worker, now, actions);
        return;
    }
    if (now >= pending.give_up_routing_at)
    {
        fail(pending,
             error(error_kind::back_end_unavailable,
                   "no worker of the base model has an owner", ran::no,
                   default_retry_after),
             actions);
        return;
    }
    pending.excluded.clear();
    pending.next_try_at = now + owner_poll_interval;
    schedule_wake(pending,
                  std::min(pending.next_try_at, pending.request.deadline));
}

std::optional<worker_id>
model_entry::choose_worker(pending_request const& pending,
                           std::set<worker_id> const& excluded, time_point now)
{
    adapter_ref const& adapter = pending.request.adapter;
    auto const first =
        policy_->choose_worker(pending.request, *view_, excluded, now);
    auto chosen = first;
    // While the table is unreachable, a full worker cannot evict. A policy that
    // considers only the load could still send it requests for an adapter that
    // is loaded elsewhere, and they would wait in vain. So the policy chooses
    // again without such workers. If no worker is left, the request goes to
    // the first choice, whose owner reports at once that it cannot load.
    std::set<worker_id> avoided = excluded;
    for (int skipped = 0; chosen && skipped < max_avoided_workers; ++skipped)
    {
        worker_view const* worker = view_->find(*chosen);
        if (worker == nullptr || worker->can_accept_adapter() ||
            has_usable_resident(*worker, adapter))
            return chosen;
        avoided.insert(*chosen);
        chosen = policy_->choose_worker(pending.request, *view_, avoided, now);
    }
    return chosen ? chosen : first;
}

bool model_entry::no_worker_can_load(pending_request const& pending,
                                     time_point now)
{
    worker_view const* tried = view_->find(pending.worker);
    if (tried == nullptr || !stays_full(*tried))
        return false;
    auto const can_serve = [&](std::set<worker_id> const& excluded)
    {
        auto const chosen = choose_worker(pending, excluded, now);
        worker_view const* next = chosen ? view_->find(*chosen) : nullptr;
        return next != nullptr &&
               (!stays_full(*next) ||
                has_usable_resident(*next, pending.request.adapter));
    };
    // Workers that were tried before may have been busy only; they are tried
    // again once no other is left.
    return !can_serve(pending.excluded) && !can_serve({pending.worker});
}

void model_entry::send(pending_request& pending, worker_view const& worker,
                       time_point now, action_list& actions)
{
    ++pending.tries;
    pending.worker = worker.id;
    pending.try_id = request_id(pending.request.id.str() + "." +
                                std::to_string(pending.tries));
    requests_by_try_.emplace(pending.try_id, pending.request.id);
    model_request try_request = pending.request;
    try_request.id = pending.try_id;
    vm_id const owner = worker.owner;
    view_->add_sent(pending.worker, try_request.adapter,
                    try_request.prefix_key);
    schedule_wake(pending, pending.request.deadline);
    if (owner == settings_.vm)
    {
        pending.path = attempt_path::local;
        // The dispatcher may answer during this call, which changes or removes
        // `pending`.
        owner_->submit_locally(pending.worker, std::move(try_request), now,
                               actions);
        return;
    }
    pending.path = attempt_path::peer;
    pending.attempt = ids_->next_attempt();
    requests_by_attempt_.emplace(pending.attempt, pending.request.id);
    actions.push_back(forward_request{pending.attempt, owner, pending.worker,
                                      std::move(try_request)});
}

void model_entry::withdraw(request_id const& request, time_point now,
                           action_list& actions)
{
    pending_request* pending = find(request);
    if (pending == nullptr)
        return;
    if (counter_ != nullptr)
        counter_->count_withdrawn(pending->request,
                                  now - pending->request.arrived);
    stop_try(*pending, true, now, actions);
    remove(*pending);
}

bool model_entry::knows(attempt_id attempt) const
{
    return requests_by_attempt_.count(attempt) != 0;
}

bool model_entry::knows_try(request_id const& try_id) const
{
    return requests_by_try_.count(try_id) != 0;
}

void model_entry::on_chunk(attempt_chunk const& event, time_point now,
                           action_list& actions)
{
    pending_request* pending = find_by_attempt(event.attempt);
    if (pending == nullptr)
        return;
    // The fencing number in the name is not checked: the owner that sent the
    // request may have changed, and its number is not known here. Adapter,
    // version and request must match.
    auto const echoed_name = parse_engine_name(event.name.str());
    engine_name const wanted =
        engine_name_for(pending->request.adapter,
                        echoed_name ? echoed_name->fence : fencing_number());
    if (!checks_->answers_request(wanted, event.name, pending->try_id,
                                  event.request))
    {
        actions.push_back(publish_event{
            "entry", "answer-dropped",
            pending->try_id.str() + " as " + wanted.str() + " was expected, " +
                event.request.str() + " as " + event.name.str() + " came"});
        on_answer_lost(*pending, "the engine sent another request's answer",
                       now, actions);
        return;
    }
    relay_event(*pending, {{}, event.offset, event.payload, event.last}, now,
                actions);
}

void model_entry::relay_event(pending_request& pending, deliver_event event,
                              time_point now, action_list& actions)
{
    switch (pending.relay.on_event(event.offset, event.last, now))
    {
    case answer_relay::verdict::pass:
        if (event.offset == 0)
            first_event_meter_.add(now - pending.request.arrived);
        event.request = pending.request.id;
        actions.push_back(std::move(event));
        if (pending.path == attempt_path::engine)
            schedule_wake(pending, std::min(pending.relay.progress_deadline(),
                                            pending.request.deadline));
        return;
    case answer_relay::verdict::duplicate:
        return;
    case answer_relay::verdict::gap:
        on_connection_lost(pending, now, actions);
        return;
    }
}

void model_entry::on_end(attempt_end const& event, time_point now,
                         action_list& actions)
{
    pending_request* pending = find_by_attempt(event.attempt);
    if (pending == nullptr)
        return;
    // The end marker alone does not prove that the answer is complete: events
    // may be lost between the owner and this VM as well as between the engine
    // and the owner, which makes the same check.
    if (checks_->is_complete_answer(pending->relay.end_seen()))
        complete_answer(*pending, now, actions);
    else
        on_connection_lost(*pending, now, actions);
}

void model_entry::complete_answer(pending_request& pending, time_point now,
                                  action_list& actions)
{
    ++counts_.answered;
    answer_meter_.add(now - pending.request.arrived);
    if (counter_ != nullptr)
        counter_->count_completed(pending.request,
                                  now - pending.request.arrived);
    actions.push_back(deliver_end{pending.request.id});
    remove(pending);
}

void model_entry::on_failure(attempt_failure const& event, time_point now,
                             action_list& actions)
{
    pending_request* pending = find_by_attempt(event.attempt);
    if (pending == nullptr)
        return;
    if (event.peer_error)
    {
        if (may_retry_elsewhere(*event.peer_error) && !pending->relay.begun())
            on_not_run(*pending, *event.peer_error, now, actions);
        else
            fail(*pending, *event.peer_error, actions);
        return;
    }
    if (pending->path == attempt_path::engine)
    {
        if (event.stage == failure_stage::refused)
            on_answer_lost(*pending, "the engine no longer has the answer", now,
                           actions);
        else
            on_connection_lost(*pending, now, actions);
        return;
    }
    // The owner's next hint makes the worker usable again. While the table is
    // down, a VM that was killed keeps its workers.
    if (event.stage == failure_stage::not_sent)
        view_->set_unusable(pending->worker);
    // A peer that was unreachable or refused the request with a status code
    // has not forwarded the request to the worker.
    if (checks_->certainly_not_run(event.stage) && !pending->relay.begun())
        on_not_run(*pending,
                   error(error_kind::back_end_unavailable,
                         "the owner of the worker cannot be reached", ran::no,
                         default_retry_after),
                   now, actions);
    else
        on_connection_lost(*pending, now, actions);
}

void model_entry::on_local_event(deliver_event const& event, time_point now,
                                 action_list& actions)
{
    if (pending_request* pending = find_by_try(event.request))
        relay_event(*pending, event, now, actions);
}

void model_entry::on_local_end(deliver_end const& event, time_point now,
                               action_list& actions)
{
    if (pending_request* pending = find_by_try(event.request))
        complete_answer(*pending, now, actions);
}

void model_entry::on_local_error(deliver_error const& event, time_point now,
                                 action_list& actions)
{
    pending_request* pending = find_by_try(event.request);
    if (pending == nullptr)
        return;
    if (may_retry_elsewhere(event.what) && !pending->relay.begun())
        on_not_run(*pending, event.what, now, actions);
    else
        fail(*pending, event.what, actions);
}

void model_entry::on_not_run(pending_request& pending, error const& why,
                             time_point now, action_list& actions)
{
    clear_try(pending);
    bool allowed = false;
    int attempt_count = 0;
    if (is_misroute(why.kind()))
    {
        ++counts_.misroutes;
        attempt_count = ++pending.misroutes;
        allowed = attempt_count <= settings_.max_misroutes;
        if (attempt_count >= settings_.misroutes_before_exclusion)
            pending.excluded.insert(pending.worker);
    }
    else
    {
        pending.excluded.insert(pending.worker);
        attempt_count = ++pending.retries;
        bool const retry_is_useless = why.kind() == error_kind::load_failed &&
                                      no_worker_can_load(pending, now);
        allowed = !retry_is_useless && attempt_count <= settings_.max_retries &&
                  budget_.try_take();
    }
    duration const pause = budget_.backoff(attempt_count, settings_.retry_base,
                                           settings_.retry_cap);
    // A retry that would start after the deadline cannot succeed, so the
    // caller gets the error, with its Retry-After, now.
    if (!allowed || now + pause >= pending.request.deadline)
    {
        fail(pending, why, actions);
        return;
    }
    ++counts_.retries;
    pending.next_try_at = now + pause;
    schedule_wake(pending, pending.next_try_at);
}

void model_entry::on_connection_lost(pending_request& pending, time_point now,
                                     action_list& actions)
{
    stop_try(pending, false, now, actions);
    if (pending.resumes >= settings_.max_resumes)
    {
        on_answer_lost(pending, "the answer could not be resumed", now,
                       actions);
        return;
    }
    ++pending.resumes;
    pending.path = attempt_path::engine;
    pending.next_try_at =
        pending.resumes == 1
            ? now
            : now + budget_.backoff(pending.resumes, settings_.retry_base,
                                    settings_.retry_cap);
    if (pending.next_try_at <= now)
        resume_at_engine(pending, now, actions);
    else
        schedule_wake(pending,
                      std::min(pending.next_try_at, pending.request.deadline));
}

void model_entry::resume_at_engine(pending_request& pending, time_point now,
                                   action_list& actions)
{
    ++counts_.resumes;
    pending.attempt = ids_->next_attempt();
    requests_by_attempt_.emplace(pending.attempt, pending.request.id);
    pending.relay.on_reconnect(now);
    model_request try_request = pending.request;
    try_request.id = pending.try_id;
    actions.push_back(
        publish_event{"entry", "stream-resumed",
                      pending.try_id.str() + " at " + pending.worker.str()});
    actions.push_back(start_attempt{
        pending.attempt, pending.worker, engine_name(), fencing_number(),
        std::move(try_request), pending.relay.next_offset(), true});
    schedule_wake(pending, std::min(pending.relay.progress_deadline(),
                                    pending.request.deadline));
}

void model_entry::on_answer_lost(pending_request& pending,
                                 std::string const& why, time_point now,
                                 action_list& actions)
{
    stop_try(pending, true, now, actions);
    pending.may_have_run = true;
    if (pending.relay.begun())
    {
        // Another engine would generate a different continuation, which does
        // not fit the part that was already delivered.
        fail(pending, error(error_kind::answer_cut, why, ran::yes), actions);
        return;
    }
    // Nothing was delivered, and generating an answer has no side effects at
    // the engine, so the request may run again under a new id.
    clear_try(pending);
    pending.excluded.insert(pending.worker);
    if (++pending.retries > settings_.max_retries || !budget_.try_take())
    {
        fail(pending, error(error_kind::answer_cut, why, ran::unknown),
             actions);
        return;
    }
    ++counts_.retries;
    pending.next_try_at = now;
    schedule_wake(pending, now);
}

void model_entry::tick(time_point now, action_list& actions)
{
    while (!wake_queue_.empty() && wake_queue_.begin()->first <= now)
    {
        pending_request& pending = *find(wake_queue_.begin()->second);
        if (now >= pending.request.deadline)
        {
            bool const sent = pending.path != attempt_path::none;
            stop_try(pending, true, now, actions);
            fail(pending,
                 error(error_kind::deadline_passed,
                       "the deadline passed before the answer was complete",
                       sent ? ran::unknown : ran::no),
                 actions);
        }
        else if (pending.path == attempt_path::none)
            route(pending, now, actions);
        else if (pending.path == attempt_path::engine && pending.attempt.none())
            resume_at_engine(pending, now, actions);
        else if (pending.path == attempt_path::engine &&
                 now >= pending.relay.progress_deadline())
            on_connection_lost(pending, now, actions);
        else
            schedule_wake(pending, pending.request.deadline);
    }
}

void model_entry::stop_try(pending_request& pending, bool stop_at_engine,
                           time_point now, action_list& actions)
{
    if (pending.path == attempt_path::local)
        owner_->withdraw_locally(pending.worker, pending.try_id, now, actions);
    else if (!pending.attempt.none())
    {
        actions.push_back(cancel_attempt{
            pending.attempt, pending.worker, pending.try_id,
            stop_at_engine && pending.path == attempt_path::engine});
    }
    requests_by_attempt_.erase(pending.attempt);
    pending.attempt = attempt_id();
}

void model_entry::clear_try(pending_request& pending)
{
    requests_by_try_.erase(pending.try_id);
    requests_by_attempt_.erase(pending.attempt);
    pending.attempt = attempt_id();
    pending.path = attempt_path::none;
}

void model_entry::schedule_wake(pending_request& pending, time_point at)
{
    wake_queue_.erase({pending.wake_at, pending.request.id});
    pending.wake_at = at;
    wake_queue_.emplace(at, pending.request.id);
}

void model_entry::fail(pending_request& pending, error const& why,
                       action_list& actions)
{
    ++counts_.failed;
    if (counter_ != nullptr)
        counter_->count_failed(pending.request, why.kind());
    // The last try certainly did not run, but an earlier one was lost after
    // sending and may have run or may still run. If the error said "not run",
    // the caller would repeat a request that an engine has run or will run.
    bool const may_have_run_earlier =
        pending.may_have_run && why.request_ran() == ran::no;
    actions.push_back(deliver_error{
        pending.request.id,
        may_have_run_earlier
            ? error(why.kind(), why.text(), ran::unknown, why.retry_after())
            : why});
    remove(pending);
}

void model_entry::remove(pending_request& pending)
{
    clear_try(pending);
    wake_queue_.erase({pending.wake_at, pending.request.id});
    request_id const id = pending.request.id;
    requests_.erase(id);
}

model_entry::pending_request* model_entry::find(request_id const& request)
{
    auto const found = requests_.find(request);
    return found == requests_.end() ? nullptr : &found->second;
}

model_entry::pending_request* model_entry::find_by_try(request_id const& try_id)
{
    auto const found = requests_by_try_.find(try_id);
    return found == requests_by_try_.end() ? nullptr : find(found->second);
}

model_entry::pending_request* model_entry::find_by_attempt(attempt_id attempt)
{
    auto const found = requests_by_attempt_.find(attempt);
    return found == requests_by_attempt_.end() ? nullptr : find(found->second);
}

} // namespace mulberry
