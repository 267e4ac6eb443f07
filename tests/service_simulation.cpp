#include "service_simulation.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace mulberry::test
{
namespace
{

/// Every request is answered before the end of this period; afterwards only
/// outcomes remain to be written.
constexpr duration busy_period = 16000 * ms;
constexpr duration idle_tick_interval = 200 * ms;
/// Long enough for all faults of a schedule to affect repeated writes.
constexpr duration horizon = 120000 * ms;
constexpr duration lease_duration = 400 * ms;

std::shared_ptr<declaration const> three_workers()
{
    service_declaration service;
    service.id = service_id("recordsvc");
    for (char const* const domain : {"a", "b", "c"})
        service.workers.push_back({service_worker_id(domain), domain_id(domain),
                                   "http://127.0.0.1:1"});
    declaration all;
    all.services[service.id] = service;
    return std::make_shared<declaration const>(all);
}

template <class Fault>
Fault next_fault(std::vector<Fault>& faults)
{
    if (faults.empty())
        return Fault::none;
    Fault const first = faults.front();
    faults.erase(faults.begin());
    return first;
}

bool contains_call(action_list const& actions)
{
    for (action const& one : actions)
        if (std::holds_alternative<call_service>(one))
            return true;
    return false;
}

} // namespace

std::ostream& operator<<(std::ostream& out, schedule const& what)
{
    for (simulation_step const& step : what.steps)
        out << "step " << int(step.kind) << " at " << step.at_ms << " vm "
            << step.vm << " key " << step.key << " body " << step.body
            << " span " << step.duration_ms << '\n';
    out << "table";
    for (table_fault const fault : what.table)
        out << ' ' << int(fault);
    out << "\ncalls";
    for (call_fault const fault : what.calls)
        out << ' ' << int(fault);
    return out << '\n';
}

service_settings service_simulation::test_settings()
{
    service_settings settings;
    settings.table_timeout = 300 * ms;
    settings.inline_answer_bytes = 40;
    settings.hedge_delay = 500 * ms;
    settings.late_answer_wait = 4000 * ms;
    return settings;
}

service_simulation::service_simulation(safeguards const& checks,
                                       broken_platform broken,
                                       service_settings settings)
    : checks_(checks), broken_(broken), settings_(std::move(settings)),
      configuration_(three_workers()), vms_(vm_count)
{
    for (std::size_t vm = 0; vm < vm_count; ++vm)
    {
        vms_[vm].id = vm_id("vm-" + std::to_string(vm));
        start(vm);
        tick(vm);
    }
}

void service_simulation::start(std::size_t vm)
{
    vm_state& state = vms_[vm];
    state.vm_incarnation = incarnation(state.vm_incarnation.value() + 1);
    state.ids = std::make_unique<id_source>();
    service_settings settings = settings_;
    settings.vm = state.id;
    settings.seed = vm + 1;
    state.caller = std::make_unique<service_caller>(
        settings, checks_, *state.ids,
        [this](vm_id const& id, incarnation vm_incarnation)
        { return incarnation_ended(id, vm_incarnation); });
    state.caller->configure(configuration_);
    state.caller->set_incarnation(state.vm_incarnation);
    state.paused_until = time_point{};
    state.pause_before_call.reset();
    state.kill_before_call = false;
}

// A VM that stays paused for longer than its lease counts as dead too: that
// calls run at most once must not depend on this judgement.
bool service_simulation::incarnation_ended(vm_id const& vm,
                                           incarnation vm_incarnation) const
{
    for (vm_state const& state : vms_)
        if (state.id == vm)
            return state.vm_incarnation != vm_incarnation ||
                   state.paused_until > now_ + lease_duration;
    return true;
}

call_history const& service_simulation::run(schedule const& what)
{
    table_faults_ = what.table;
    call_faults_ = what.calls;
    for (simulation_step const& step : what.steps)
        at(time_point{} + step.at_ms * ms,
           [this, step]
           {
               using enum simulation_step::step_kind;
               if (step.kind == submit || step.kind == submit_repeatable)
                   this->submit(step.vm, step.key, step.body,
                                step.kind == submit_repeatable);
               else if (step.kind == simulation_step::step_kind::withdraw &&
                        !history_.submitted.empty())
                   this->withdraw(
                       history_
                           .submitted[static_cast<std::size_t>(step.key) %
                                      history_.submitted.size()]
                           .request.id);
               else if (step.kind == simulation_step::step_kind::pause)
                   this->pause(step.vm, step.duration_ms * ms);
               else if (step.kind == simulation_step::step_kind::kill)
                   this->kill(step.vm);
               else if (step.kind == simulation_step::step_kind::outage)
                   this->outage(step.duration_ms * ms);
               else if (step.kind == pause_before_call)
                   before_next_call(step.vm, step.duration_ms * ms, false);
               else if (step.kind == kill_before_call)
                   before_next_call(step.vm, {}, true);
           });
    run_until(time_point{} + horizon);
    for (vm_state const& state : vms_)
    {
        history_.left_in_progress += state.caller->in_progress();
        history_.vm_incarnations[state.id] = state.vm_incarnation;
    }
    for (auto const& [key, row] : rows_)
        history_.claims.push_back(decode_claim_row(row.value).value());
    return history_;
}

void service_simulation::at(time_point when, std::function<void()> what)
{
    events_.emplace(when, std::move(what));
}

void service_simulation::run_until(time_point end)
{
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto const event = events_.extract(events_.begin());
        now_ = event.key();
        event.mapped()();
    }
    now_ = end;
}

request_id service_simulation::submit(std::size_t vm, int key, int body,
                                      bool repeatable)
{
    service_request request;
    request.id = request_id("r" + std::to_string(history_.submitted.size()));
    request.service = service_id("recordsvc");
    request.method = repeatable ? "GET" : "POST";
    request.target = "/slips";
    request.body =
        std::make_shared<std::string const>("b" + std::to_string(body));
    request.key = idempotency_key("k" + std::to_string(key));
    request.arrived = now_;
    request.deadline = now_ + request_timeout;
    time_point const resumes_at = std::max(now_, vms_[vm].paused_until);
    history_.submitted.push_back(
        {request, vm, repeatable, true,
         std::max(request.deadline, resumes_at) + tick_interval});
    post_event(vm, vms_[vm].vm_incarnation, now_,
               [this, request](service_caller& caller, action_list& actions)
               { caller.submit(request, now_, actions); });
    return request.id;
}

void service_simulation::withdraw(request_id const& request)
{
    for (submitted_request& submitted : history_.submitted)
        if (submitted.request.id == request && answer_to(request) == nullptr)
        {
            submitted.answer_expected = false;
            post_event(
                submitted.vm, vms_[submitted.vm].vm_incarnation, now_,
                [this, request](service_caller& caller, action_list& actions)
                { caller.withdraw(request, now_, actions); });
        }
}

void service_simulation::pause(std::size_t vm, duration span)
{
    time_point& until = vms_[vm].paused_until;
    until = std::max(until, now_ + span);
    for (submitted_request& submitted : history_.submitted)
        if (submitted.vm == vm)
            submitted.answer_due =
                std::max(submitted.answer_due, until + tick_interval);
}

void service_simulation::kill(std::size_t vm)
{
    for (submitted_request& submitted : history_.submitted)
        if (submitted.vm == vm)
            submitted.answer_expected = false;
    start(vm);
}

void service_simulation::outage(duration span)
{
    outage_until_ = std::max(outage_until_, now_ + span);
}

table_fault service_simulation::next_table_fault()
{
    return now_ < outage_until_ ? table_fault::lost : next_fault(table_faults_);
}

std::optional<claim_row> service_simulation::claim(int key) const
{
    auto const found = rows_.find(claim_key(
        service_id("recordsvc"), idempotency_key("k" + std::to_string(key))));
    if (found == rows_.end())
        return std::nullopt;
    return decode_claim_row(found->second.value);
}

void service_simulation::before_next_call(std::size_t vm,
                                          duration pause_duration, bool kill)
{
    if (kill)
        vms_[vm].kill_before_call = true;
    else
        vms_[vm].pause_before_call = pause_duration;
}

void service_simulation::table_faults(std::vector<table_fault> faults)
{
    table_faults_ = std::move(faults);
}

void service_simulation::call_faults(std::vector<call_fault> faults)
{
    call_faults_ = std::move(faults);
}

final_answer const*
service_simulation::answer_to(request_id const& request) const
{
    for (final_answer const& answer : history_.final_answers)
        if (answer.request == request)
            return &answer;
    return nullptr;
}

void service_simulation::tick(std::size_t vm)
{
    post_event(vm, vms_[vm].vm_incarnation, now_,
               [this](service_caller& caller, action_list& actions)
               { caller.tick(now_, actions); });
    bool const busy = now_ < time_point{} + busy_period;
    at(now_ + (busy ? tick_interval : idle_tick_interval),
       [this, vm] { tick(vm); });
}

void service_simulation::post_event(std::size_t vm, incarnation vm_incarnation,
                                    time_point when, event_handler what)
{
    at(when,
       [this, vm, vm_incarnation, what = std::move(what)]
       {
           if (vms_[vm].vm_incarnation != vm_incarnation)
               return;
           if (vms_[vm].paused_until > now_)
               post_event(vm, vm_incarnation, vms_[vm].paused_until, what);
           else
               handle_event(vm, what);
       });
}

void service_simulation::handle_event(std::size_t vm, event_handler const& what)
{
    vm_state& state = vms_[vm];
    action_list actions;
    what(*state.caller, actions);
    if (contains_call(actions) && state.kill_before_call)
    {
        kill(vm);
        return;
    }
    if (contains_call(actions) && state.pause_before_call)
    {
        pause(vm, *std::exchange(state.pause_before_call, std::nullopt));
        at(state.paused_until,
           [this, vm, vm_incarnation = state.vm_incarnation, actions]
           { perform(vm, vm_incarnation, actions); });
        return;
    }
    perform(vm, state.vm_incarnation, actions);
}

void service_simulation::perform(std::size_t vm, incarnation vm_incarnation,
                                 action_list const& actions)
{
    if (vms_[vm].vm_incarnation != vm_incarnation)
        return;
    for (action const& one : actions)
        perform(vm, one);
}

void service_simulation::perform(std::size_t vm, action const& what)
{
    if (auto const* write = std::get_if<transact>(&what))
        do_transact(vm, *write);
    else if (auto const* call = std::get_if<call_service>(&what))
        do_call(vm, *call);
    else if (auto const* store = std::get_if<store_object>(&what))
        do_objects(
            vm, store->operation, store->deadline,
            [this, store]
            {
                objects_[store->key] = *store->bytes;
                return object_reply{store->operation, object_outcome::done, {}};
            });
    else if (auto const* fetch = std::get_if<fetch_object>(&what))
        do_objects(vm, fetch->operation, fetch->deadline,
                   [this, fetch]
                   {
                       bool const there = objects_.count(fetch->key) != 0;
                       return object_reply{fetch->operation,
                                           there ? object_outcome::done
                                                 : object_outcome::absent,
                                           there ? objects_[fetch->key]
                                                 : std::string()};
                   });
    else if (auto const* answer = std::get_if<deliver_service_answer>(&what))
        record({answer->request, now_, answer->answer, answer->replayed, {}});
    else if (auto const* refusal = std::get_if<deliver_error>(&what))
        record({refusal->request, now_, {}, false, refusal->what});
}

void service_simulation::record(final_answer what)
{
    if (!broken_.drops_answers || history_.final_answers.size() % 4 != 1)
        history_.final_answers.push_back(std::move(what));
}

void service_simulation::do_transact(std::size_t vm, transact const& what)
{
    table_fault const fault = next_table_fault();
    incarnation const vm_incarnation = vms_[vm].vm_incarnation;
    auto const reply =
        [this, vm, vm_incarnation](time_point when, table_reply answer)
    {
        post_event(vm, vm_incarnation, when,
                   [this, answer = std::move(answer)](service_caller& caller,
                                                      action_list& actions)
                   { caller.on_table(answer, now_, actions); });
    };
    table_reply const unreachable{
        what.operation, table_outcome::unreachable, {}};
    switch (fault)
    {
    case table_fault::none:
    case table_fault::slow:
        reply(now_ + (fault == table_fault::none ? 2 : 250) * ms, apply(what));
        return;
    case table_fault::answer_lost:
        apply(what);
        [[fallthrough]];
    case table_fault::lost:
        reply(what.deadline, unreachable);
        return;
    case table_fault::applied_late:
        at(what.deadline + (++late_writes_ % 4) * 900 * ms,
           [this, what] { apply(what); });
        reply(what.deadline, unreachable);
        return;
    case table_fault::unreported:
        return;
    case table_fault::refused:
        reply(now_ + ms, {what.operation, table_outcome::refused, {}});
        return;
    }
}

table_reply service_simulation::apply(transact const& what)
{
    table_reply reply{what.operation, table_outcome::done, {}};
    for (table_condition const& condition : what.transaction.conditions)
    {
        auto const found = rows_.find(condition.key);
        table_row const row = found == rows_.end()
                                  ? table_row{condition.key, {}, ""}
                                  : found->second;
        if (row.version != condition.version && !broken_.ignores_conditions)
            reply.outcome = table_outcome::conflict;
        reply.rows.push_back(read_row(row, what));
    }
    if (reply.outcome == table_outcome::conflict)
        return reply;
    reply.rows.clear();
    for (table_write const& write : what.transaction.writes)
    {
        rows_[write.key] = {write.key, row_version(++last_version_),
                            *write.value};
        reply.rows.push_back({write.key, row_version(last_version_), ""});
    }
    return reply;
}

table_row service_simulation::read_row(table_row row,
                                       transact const& what) const
{
    auto claim = decode_claim_row(row.value);
    auto const requested = decode_claim_row(*what.transaction.writes[0].value);
    if (claim && broken_.equal_fingerprints)
        claim->fingerprint = requested->fingerprint;
    if (claim && claim->answer && broken_.alters_answers)
        claim->answer = stored_answer{200, "text/plain", "altered", ""};
    if (claim)
        row.value = encode(*claim);
    return row;
}

void service_simulation::do_objects(std::size_t vm, operation_id operation,
                                    time_point deadline,
                                    std::function<object_reply()> const& effect)
{
    table_fault const fault = next_table_fault();
    object_reply reply{operation, object_outcome::unreachable, {}};
    time_point when = deadline;
    if (fault != table_fault::lost && fault != table_fault::refused)
        reply = effect();
    if (broken_.truncates_objects && !reply.bytes.empty())
        reply.bytes.pop_back();
    if (fault == table_fault::none || fault == table_fault::slow)
        when = now_ + 2 * ms;
    else
        reply = {operation, object_outcome::unreachable, {}};
    if (fault == table_fault::unreported)
        return;
    post_event(vm, vms_[vm].vm_incarnation, when,
               [this, reply](service_caller& caller, action_list& actions)
               { caller.on_object(reply, now_, actions); });
}

void service_simulation::do_call(std::size_t vm, call_service const& what)
{
    ++calls_made_;
    call_fault const fault = next_fault(call_faults_);
    incarnation const vm_incarnation = vms_[vm].vm_incarnation;
    auto const fail =
        [this, vm, vm_incarnation, what](failure_stage stage, duration in)
    {
        attempt_failure failure;
        failure.attempt = what.attempt;
        failure.stage = stage;
        post_event(vm, vm_incarnation, now_ + in,
                   [this, failure](service_caller& caller, action_list& actions)
                   { caller.on_failure(failure, now_, actions); });
    };
    auto const answer =
        [this, vm, vm_incarnation, what](duration run_in, duration in)
    {
        at(now_ + run_in,
           [this, vm, vm_incarnation, what, in]
           {
               service_answer ran = run_call(what.request);
               if (broken_.swaps_answers && last_answer_)
                   std::swap(ran, *last_answer_);
               else
                   last_answer_ = ran;
               post_event(
                   vm, vm_incarnation, now_ + in,
                   [this, ran, what](service_caller& caller,
                                     action_list& actions) {
                       caller.on_answer({what.attempt, ran}, now_, actions);
                   });
           });
    };
    switch (fault)
    {
    case call_fault::none:
        return answer(2 * ms, 2 * ms);
    case call_fault::slow:
        return answer(300 * ms, 300 * ms);
    case call_fault::not_sent:
        return fail(failure_stage::not_sent, 2 * ms);
    case call_fault::silent_before_run:
        return;
    case call_fault::silent_after_run:
        run_call(what.request);
        return;
    case call_fault::runs_late:
        return answer(request_timeout + 1000 * ms, 2 * ms);
    case call_fault::answers_late:
        return answer(2 * ms, request_timeout + 1000 * ms);
    case call_fault::cut_before_run:
        return fail(failure_stage::sent, 5 * ms);
    case call_fault::cut_after_run:
        run_call(what.request);
        return fail(failure_stage::answering, 5 * ms);
    case call_fault::refused_after_run:
        run_call(what.request);
        return fail(failure_stage::refused, 5 * ms);
    }
}

service_answer service_simulation::run_call(service_request const& request)
{
    std::size_t const number = history_.runs.size();
    // Every second answer is too large for the row.
    std::string const padding(number % 2 == 0 ? 0 : 60, '.');
    service_answer answer{200, "text/plain",
                          "run " + std::to_string(number) + " of " +
                              request.id.str() + padding};
    history_.runs.push_back(
        {request.id, request.key, request.method, *request.body, answer});
    return answer;
}

} // namespace mulberry::test
