#include "vm_core.hpp"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration default_retry_after = std::chrono::seconds(1);
/// How long a leaving VM tries to close its row before it exits anyway. Without
/// the closed row, its successors treat the VM as suspect until the platform's
/// list no longer contains it.
constexpr duration close_timeout = std::chrono::seconds(10);
/// The part of close_timeout in which the VM waits for its last counts to be
/// written.
constexpr duration flush_timeout = std::chrono::seconds(5);

quarter_settings with_vm(quarter_settings settings, vm_id const& vm)
{
    settings.vm = vm;
    return settings;
}

template <class Map, class Key>
auto* value_or_null(Map& map, Key const& key)
{
    auto const place = map.find(key);
    return place == map.end() ? nullptr : place->second.get();
}

} // namespace

vm_core::vm_core(core_settings settings, safeguards const& checks)
    : settings_(std::move(settings)), checks_(&checks),
      policy_(make_policy(settings_.policy, settings_.seed)),
      budget_(make_load_budget(settings_.load_budget)),
      ownership_(settings_.ownership, checks, ids_),
      configuration_(settings_.configuration, checks, ids_),
      services_(settings_.services, checks, ids_,
                [this](vm_id const& vm, incarnation life)
                { return ownership_.has_stopped(vm, life); }),
      quarter_(with_vm(settings_.quarter, settings_.ownership.vm), ids_,
               [this](vm_id const& vm, incarnation life)
               { return ownership_.has_stopped(vm, life); }),
      entry_(settings_.entry, *policy_, view_, *this, checks, ids_)
{
    entry_.set_counter(this);
}

vm_core::~vm_core() = default;

void vm_core::start(time_point now, action_list& actions)
{
    action_list raw;
    ownership_.start(now, raw);
    configuration_.start(now, raw);
    process_actions(raw, now, actions);
}

void vm_core::handle(core_event const& event, time_point now,
                     action_list& actions)
{
    action_list raw;
    std::visit([&](auto const& one) { on(one, now, raw); }, event);
    process_actions(raw, now, actions);
}

void vm_core::process_actions(action_list& raw, time_point now,
                              action_list& actions)
{
    bool more = true;
    while (more)
    {
        for (std::size_t next = 0; next < raw.size(); ++next)
        {
            // Moved out, because handling the action may append to `raw`.
            action one = std::move(raw[next]);
            if (!handle_internally(one, now, raw))
                actions.push_back(std::move(one));
        }
        raw.clear();
        more = handle_ownership_events(now, raw);
        more = handle_configuration_events(now, raw) || more;
        more = more || !raw.empty();
    }
}

bool vm_core::handle_internally(action const& one, time_point now,
                                action_list& raw)
{
    return std::visit(
        [&](auto const& what)
        {
            using kind = std::decay_t<decltype(what)>;
            if constexpr (std::is_same_v<kind, record_intent>)
            {
                ownership_.request_intent(what, now, raw);
                return true;
            }
            else if constexpr (std::is_same_v<kind, forget_intent>)
            {
                ownership_.forget_intent(what, now, raw);
                return true;
            }
            else if constexpr (std::is_same_v<kind, deliver_event>)
            {
                if (!entry_.knows_try(what.request))
                    return false;
                entry_.on_local_event(what, now, raw);
                return true;
            }
            else if constexpr (std::is_same_v<kind, deliver_end>)
            {
                if (!entry_.knows_try(what.request))
                    return false;
                entry_.on_local_end(what, now, raw);
                return true;
            }
            else if constexpr (std::is_same_v<kind, deliver_error>)
            {
                if (!entry_.knows_try(what.request))
                    return false;
                entry_.on_local_error(what, now, raw);
                return true;
            }
            else
                return false;
        },
        one);
}

bool vm_core::handle_ownership_events(time_point now, action_list& actions)
{
    auto const events = ownership_.take_events();
    for (ownership_event const& event : events)
    {
        if (auto const* gained = std::get_if<worker_gained>(&event))
            on_worker_gained(*gained, now, actions);
        else if (auto const* lost = std::get_if<worker_lost>(&event))
            on_worker_lost(*lost, now, actions);
        else if (auto const* clear = std::get_if<suspects_cleared>(&event))
        {
            if (auto* one = value_or_null(dispatchers_, clear->worker))
                one->suspects_stopped(clear->stopped_at, now);
        }
        else if (auto const* intent = std::get_if<intent_settled>(&event))
        {
            if (auto* one = dispatcher_of(intent->order))
                one->on_intent(intent->order, intent->recorded, now, actions);
        }
        else
            refresh_owners(now);
    }
    return !events.empty();
}

bool vm_core::handle_configuration_events(time_point now, action_list& actions)
{
    auto const events = configuration_.take_events();
    for (configuration_event const& event : events)
    {
        if (auto const* fresh = std::get_if<configuration_in_force>(&event))
            apply_configuration(*fresh, now, actions);
        else if (auto const* done = std::get_if<confirm_settled>(&event))
            confirms_.push_back(*done);
    }
    return !events.empty();
}

void vm_core::apply_configuration(configuration_in_force const& event,
                                  time_point now, action_list& actions)
{
    declared_ = event.value;
    policy_->configure(*declared_);
    budget_->configure(declared_->store);
    services_.configure(declared_);
    quarter_.configure(declared_);
    std::vector<worker_id> workers;
    for (auto const& [id, worker] : declared_->workers)
        workers.push_back(id);
    for (worker_view const* known : view_.all())
        if (declared_->workers.count(known->id) == 0)
            view_.remove(worker_id(known->id));
    ownership_.set_workers(std::move(workers), now, actions);
    refresh_owners(now);
}

void vm_core::on_worker_gained(worker_gained const& event, time_point now,
                               action_list& actions)
{
    auto const declared = declared_->workers.find(event.worker);
    if (declared == declared_->workers.end())
        return;
    auto fresh = std::make_unique<worker_dispatcher>(
        declared->second, event.grant, settings_.dispatch, *policy_, *budget_,
        *checks_, ids_, now);
    fresh->set_cluster(&view_);
    fresh->tick(now, actions);
    dispatchers_.insert_or_assign(event.worker, std::move(fresh));
}

void vm_core::on_worker_lost(worker_lost const& event, time_point now,
                             action_list& actions)
{
    auto const place = dispatchers_.find(event.worker);
    if (place == dispatchers_.end())
    {
        release_if_last_dispatcher(event.worker, now, actions);
        return;
    }
    place->second->stop_admitting(now, actions);
    retired_.push_back({event.worker, std::move(place->second)});
    dispatchers_.erase(place);
    refresh_owners(now);
}

bool vm_core::takes_new_work(time_point now) const
{
    admission_facts facts;
    facts.leaving =
        leaving_since_ && now >= *leaving_since_ + settings_.drain_grace;
    facts.configuration_known = configuration_.is_known(now);
    return checks_->takes_new_work(facts) && ownership_.registered();
}

error vm_core::admission_error() const
{
    error_kind const kind =
        leaving_since_ ? error_kind::draining : error_kind::configuration_stale;
    return {kind, std::string(answer_of(kind).meaning), ran::no,
            default_retry_after};
}

bool vm_core::may_serve_owned_workers(time_point now) const
{
    return ownership_.lease_holds(now) ||
           configuration_.going_on_without_table(now);
}

void vm_core::on(model_request_arrived const& event, time_point now,
                 action_list& actions)
{
    model_request request = event.request;
    adapter_declaration const* adapter =
        declared_ ? declared_->find(request.adapter) : nullptr;
    if (request.application.empty() && adapter != nullptr &&
        !adapter->applications.empty())
        request.application = adapter->applications.front();
    if (!takes_new_work(now))
    {
        count_failed(request, admission_error().kind());
        actions.push_back(deliver_error{request.id, admission_error()});
        return;
    }
    if (adapter == nullptr)
    {
        actions.push_back(deliver_error{
            request.id,
            error(error_kind::unknown_model,
                  "no adapter " + request.adapter.str() +
                      " in configuration version " +
                      std::to_string(configuration_.version().value()))});
        return;
    }
    request.base_model = adapter->base_model;
    entry_.submit(std::move(request), now, actions);
}

void vm_core::on(service_request_arrived const& event, time_point now,
                 action_list& actions)
{
    if (!takes_new_work(now))
    {
        actions.push_back(deliver_error{event.request.id, admission_error()});
        return;
    }
    services_.submit(event.request, now, actions);
}

void vm_core::on(client_disconnected const& event, time_point now,
                 action_list& actions)
{
    entry_.withdraw(event.request, now, actions);
    services_.withdraw(event.request, now, actions);
    if (worker_dispatcher* one = dispatcher_of(event.request))
        one->withdraw(event.request, now, actions);
}

void vm_core::on(forwarded_request_arrived const& event, time_point now,
                 action_list& actions)
{
    if (!declared_ || declared_->find(event.request.adapter) == nullptr)
    {
        actions.push_back(deliver_error{
            event.request.id,
            error(error_kind::configuration_stale,
                  "the owner does not know this adapter version yet", ran::no,
                  default_retry_after)});
        return;
    }
    submit_locally(event.worker, event.request, now, actions);
}

void vm_core::submit_locally(worker_id const& worker, model_request request,
                             time_point now, action_list& actions)
{
    auto* dispatcher = value_or_null(dispatchers_, worker);
    if (dispatcher == nullptr || !may_serve_owned_workers(now))
    {
        actions.push_back(
            deliver_error{request.id, error(error_kind::not_owner,
                                            "this VM does not own the worker",
                                            ran::no, default_retry_after)});
        return;
    }
    dispatcher->submit(std::move(request), now, actions);
}

void vm_core::withdraw_locally(worker_id const&, request_id const& request,
                               time_point now, action_list& actions)
{
    if (worker_dispatcher* one = dispatcher_of(request))
        one->withdraw(request, now, actions);
}

void vm_core::on(peer_message_received const& event, time_point now,
                 action_list& actions)
{
    if (auto const* hint = std::get_if<ownership_hint>(&event.message))
    {
        on_ownership_hint(event.from, *hint, now);
        configuration_.on_peer(
            event.from, configuration_hint{hint->configuration}, now, actions);
        return;
    }
    configuration_.on_peer(event.from, event.message, now, actions);
}

void vm_core::on(vm_list_received const& event, time_point now,
                 action_list& actions)
{
    ownership_.on_vm_list(event.vms, now, actions);
    for (listed_vm const& one : event.vms)
        if (one.vm == settings_.ownership.vm && one.leaving)
            on(leave_requested{"the platform's list says so"}, now, actions);
}

void vm_core::on(confirm_requested const& event, time_point now,
                 action_list& actions)
{
    configuration_.confirm(event.ticket, event.base, event.digest,
                           event.canonical_text, now, actions);
}

void vm_core::on(leave_requested const& event, time_point now,
                 action_list& actions)
{
    if (leaving_since_)
        return;
    leaving_since_ = now;
    actions.push_back(publish_event{"core", "leaving", event.why});
    ownership_.leave(now, actions);
    next_hint_at_ = now;
    send_hints(now, actions);
}

void vm_core::on(clock_ticked const&, time_point now, action_list& actions)
{
    ownership_.tick(now, actions);
    configuration_.on_table_answer(ownership_.last_table_contact());
    refresh_voters(now);
    configuration_.tick(now, actions);
    std::size_t loads_wanted = 0;
    for (auto const& [id, dispatcher] : dispatchers_)
        loads_wanted += dispatcher->loads_wanted();
    budget_->set_waiting(loads_wanted, now);
    // Without the lease no intent to unload can be recorded, and an adapter
    // that waits for its intent serves no requests. So evictions wait for the
    // lease.
    bool const may_evict = ownership_.lease_holds(now);
    for (worker_dispatcher* one : all_dispatchers())
    {
        one->set_may_evict(may_evict);
        one->tick(now, actions);
    }
    refresh_view(now);
    entry_.tick(now, actions);
    services_.tick(now, actions);
    update_quarter(now, actions);
    release_retired(now, actions);
    send_hints(now, actions);
    close_when_idle(now, actions);
}

void vm_core::release_retired(time_point now, action_list& actions)
{
    // If this VM signed off too early, the next owner could evict an adapter
    // while the engine still runs a request that this VM gave up.
    auto const is_still_needed = [&](retired_dispatcher const& one)
    {
        return one.dispatcher->in_progress() != 0 ||
               one.dispatcher->orders_in_progress() != 0 ||
               one.dispatcher->has_abandoned_requests(now);
    };
    auto const done =
        std::partition(retired_.begin(), retired_.end(), is_still_needed);
    std::vector<worker_id> released;
    for (auto one = done; one != retired_.end(); ++one)
    {
        retired_counts_ += one->dispatcher->counts(now);
        count_usage(*one->dispatcher, now);
        released.push_back(one->worker);
    }
    retired_.erase(done, retired_.end());
    for (worker_id const& worker : released)
        release_if_last_dispatcher(worker, now, actions);
}

void vm_core::release_if_last_dispatcher(worker_id const& worker,
                                         time_point now, action_list& actions)
{
    // A worker that was lost, regained and lost again may have two dispatchers
    // with requests in progress; signing off covers both.
    auto const is_for_worker = [&](retired_dispatcher const& one)
    { return one.worker == worker; };
    if (std::none_of(retired_.begin(), retired_.end(), is_for_worker))
        ownership_.released(worker, now, actions);
}

void vm_core::close_when_idle(time_point now, action_list& actions)
{
    if (!leaving_since_ || now < *leaving_since_ + settings_.drain_grace ||
        !checks_->may_stop(in_progress()))
        return;
    if (close_deadline_ == never)
    {
        close_deadline_ = now + close_timeout;
        for (worker_dispatcher* one : all_dispatchers())
            count_usage(*one, now);
    }
    quarter_.flush(now, actions);
    // Once this VM's row is closed, other VMs may fold the rows with its counts
    // at any time, so the counts are written first.
    if (!quarter_.flushed() &&
        now < close_deadline_ - close_timeout + flush_timeout)
        return;
    if (!ownership_.closed())
        ownership_.close(now, actions);
}

bool vm_core::can_exit(time_point now) const
{
    if (!leaving_since_ || !checks_->may_stop(in_progress()))
        return false;
    return ownership_.closed() || now >= close_deadline_;
}

std::size_t vm_core::in_progress() const
{
    std::size_t sum = entry_.in_progress() + services_.in_progress();
    for (worker_dispatcher const* one : all_dispatchers())
        sum += one->in_progress();
    return sum;
}

void vm_core::on(attempt_chunk const& event, time_point now,
                 action_list& actions)
{
    if (worker_dispatcher* one = dispatcher_of(event.attempt))
        one->on_chunk(event, now, actions);
    else if (entry_.knows(event.attempt))
        entry_.on_chunk(event, now, actions);
}

void vm_core::on(attempt_end const& event, time_point now, action_list& actions)
{
    if (worker_dispatcher* one = dispatcher_of(event.attempt))
        one->on_end(event, now, actions);
    else if (entry_.knows(event.attempt))
        entry_.on_end(event, now, actions);
}

void vm_core::on(attempt_failure const& event, time_point now,
                 action_list& actions)
{
    if (worker_dispatcher* one = dispatcher_of(event.attempt))
        one->on_failure(event, now, actions);
    else if (entry_.knows(event.attempt))
        entry_.on_failure(event, now, actions);
    else if (services_.knows(event.attempt))
        services_.on_failure(event, now, actions);
}

void vm_core::on(service_attempt_answer const& event, time_point now,
                 action_list& actions)
{
    services_.on_answer(event, now, actions);
}

void vm_core::on(order_result const& event, time_point now,
                 action_list& actions)
{
    if (worker_dispatcher* one = dispatcher_of(event.order))
        one->on_order(event, now, actions);
}

void vm_core::on(engine_report const& event, time_point now,
                 action_list& actions)
{
    if (auto* one = value_or_null(dispatchers_, event.worker))
        one->on_report(event, now, actions);
    for (retired_dispatcher const& one : retired_)
        if (one.worker == event.worker)
            one.dispatcher->on_report(event, now, actions);
}

void vm_core::on(table_reply const& event, time_point now, action_list& actions)
{
    if (ownership_.knows(event.operation))
        ownership_.on_table(event, now, actions);
    else if (configuration_.knows(event.operation))
        configuration_.on_table(event, now, actions);
    else if (services_.knows(event.operation))
        services_.on_table(event, now, actions);
    else if (quarter_.knows(event.operation))
        quarter_.on_table(event, now, actions);
    services_.set_incarnation(ownership_.incarnation_number());
    quarter_.set_incarnation(ownership_.incarnation_number());
}

void vm_core::on(object_reply const& event, time_point now,
                 action_list& actions)
{
    if (configuration_.knows(event.operation))
        configuration_.on_object(event, now, actions);
    else if (services_.knows(event.operation))
        services_.on_object(event, now, actions);
}

std::vector<confirm_result> vm_core::take_confirms()
{
    return std::exchange(confirms_, {});
}

template <class Id>
worker_dispatcher* vm_core::dispatcher_of(Id const& id)
{
    for (auto const& [worker, dispatcher] : dispatchers_)
        if (dispatcher->knows(id))
            return dispatcher.get();
    for (retired_dispatcher const& one : retired_)
        if (one.dispatcher->knows(id))
            return one.dispatcher.get();
    return nullptr;
}

std::vector<worker_dispatcher*> vm_core::all_dispatchers() const
{
    std::vector<worker_dispatcher*> all;
    for (auto const& [id, dispatcher] : dispatchers_)
        all.push_back(dispatcher.get());
    for (retired_dispatcher const& one : retired_)
        all.push_back(one.dispatcher.get());
    return all;
}

} // namespace mulberry
