// Callers and the faults of a schedule.
#include "core_simulation.hpp"

#include <ostream>
#include <utility>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr duration caller_timeout = 2000ms;
/// How late an answer may be: after the request's deadline or, if the process
/// was paused then, after the process resumed.
constexpr duration answer_slack = 150ms;
constexpr std::size_t adapters = 8;
constexpr std::size_t keys_at_once = 3;

} // namespace

std::ostream& operator<<(std::ostream& out, core_schedule const& what)
{
    out << "seed " << what.seed << '\n';
    for (core_step const& step : what.steps)
        out << core_fault_names[static_cast<std::size_t>(step.kind)] << " of "
            << step.which << " at " << step.at_ms << " ms for " << step.span_ms
            << " ms\n";
    return out;
}

/// The VM's process, or that of the next VM that runs; null if none runs.
core_process_ptr core_simulation::process_for(std::size_t vm) const
{
    for (std::size_t each = 0; each < vms_.size(); ++each)
    {
        core_process_ptr const& process = vms_[(vm + each) % vms_.size()];
        if (process->running)
            return process;
    }
    return nullptr;
}

request_id core_simulation::submit_model_request(std::size_t vm,
                                                 std::size_t adapter)
{
    request_id const id("c" + std::to_string(++asked_));
    core_process_ptr const process = process_for(vm);
    if (!process)
        return id;
    model_request request;
    request.id = id;
    request.adapter = {adapter_id("a" + std::to_string(adapter % adapters)),
                       adapter_version(1 + adapter / adapters % 2)};
    request.arrived = time_.now();
    request.deadline = time_.now() + caller_timeout;
    request.body = std::make_shared<std::string const>("{}");
    ++counts_.asked;
    invariants_.seen.invoked(id, request.adapter);
    process->caller_requests.insert(id);
    process->unanswered.insert(id);
    callers_[id] = {process, request.deadline};
    feed(process, model_request_arrived{std::move(request)});
    return id;
}

request_id core_simulation::submit_service_call(std::size_t vm,
                                                std::string const& key)
{
    request_id const id("c" + std::to_string(++asked_));
    core_process_ptr const process = process_for(vm);
    if (!process)
        return id;
    service_request request;
    request.id = id;
    request.service = service_id("recordsvc");
    request.method = "POST";
    request.target = "/slips";
    request.body = std::make_shared<std::string const>("slip");
    request.key = idempotency_key(key);
    request.arrived = time_.now();
    request.deadline = time_.now() + caller_timeout;
    invariants_.seen.service_invoked(id, true);
    process->caller_requests.insert(id);
    process->unanswered.insert(id);
    callers_[id] = {process, request.deadline};
    feed(process, service_request_arrived{std::move(request)});
    return id;
}

void core_simulation::withdraw(request_id const& request)
{
    auto const found = callers_.find(request);
    if (found == callers_.end())
        return;
    core_process_ptr const process = found->second.first;
    callers_.erase(found);
    process->caller_requests.erase(request);
    process->unanswered.erase(request);
    invariants_.seen.withdrawn(request);
    feed(process, client_disconnected{request});
}

void core_simulation::finish(core_process_ptr const& process,
                             request_id const& request, std::string outcome)
{
    outcomes_[request] = std::move(outcome);
    process->unanswered.erase(request);
    auto const found = callers_.find(request);
    if (found == callers_.end())
        return;
    time_point const due = std::max(found->second.second, process->woken_at);
    callers_.erase(found);
    if (time_.now() > due + answer_slack)
        invariants_.report_service_failure(request.str() +
                                           " was answered late");
}

std::string core_simulation::outcome(request_id const& request) const
{
    auto const found = outcomes_.find(request);
    return found == outcomes_.end() ? std::string() : found->second;
}

void core_simulation::generate_traffic()
{
    if (!traffic_on_)
        return;
    std::size_t const vm = context_.below(vms_.size());
    // Hot keys: at least half of the requests go to two of the adapters.
    std::size_t const adapter =
        context_.percent(50) ? context_.below(2) : context_.below(2 * adapters);
    request_id const request = submit_model_request(vm, adapter);
    if (context_.percent(8))
        time_.after(context_.between(1, 200),
                    [this, request] { withdraw(request); });
    if (context_.percent(20))
    {
        auto const round = time_.now().time_since_epoch() / 400ms;
        std::string const key = "k" + std::to_string(round) + "-" +
                                std::to_string(context_.below(keys_at_once));
        request_id const call =
            submit_service_call(context_.below(vms_.size()), key);
        if (context_.percent(8))
            time_.after(context_.between(1, 200),
                        [this, call] { withdraw(call); });
    }
    time_.after(context_.between(5, 40), [this] { generate_traffic(); });
}

void core_simulation::traffic_until(time_point end)
{
    traffic_on_ = true;
    generate_traffic();
    time_.run_until(end);
    traffic_on_ = false;
}

void core_simulation::check_service()
{
    std::vector<request_id> asked;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        if (!vms_[vm]->running)
            continue;
        if (vms_[vm]->left_at)
        {
            invariants_.report_service_failure("vm" + std::to_string(vm) +
                                               " has not ended since it left");
            continue;
        }
        for (std::size_t adapter = 0; adapter < 3; ++adapter)
            asked.push_back(submit_model_request(vm, vm + adapter));
        asked.push_back(submit_service_call(vm, "last-" + std::to_string(vm)));
    }
    run_for(caller_timeout + answer_slack);
    for (request_id const& each : asked)
        if (outcome(each) != "whole")
            invariants_.report_service_failure(
                each.str() + " after the faults: " + outcome(each));
}

void core_simulation::inject(core_step const& step)
{
    duration const span = std::chrono::milliseconds(step.span_ms);
    std::size_t const vm = step.which % vms_.size();
    core_engine& engine =
        std::next(engines_.begin(),
                  static_cast<std::ptrdiff_t>(step.which % engines_.size()))
            ->second;
    auto const for_a_while = [&](bool& what)
    {
        what = true;
        time_.after(span, [&what] { what = false; });
    };
    auto const table_while = [&](auto begin, auto end)
    {
        begin();
        time_.after(span, end);
    };
    vm_id const id("vm" + std::to_string(vm));
    auto const each_link = [&](auto what)
    {
        core_process_ptr const process = vms_[vm];
        for (auto const& [attempt, link] : std::map(process->open))
            what(link);
        for (auto const& [request, link] : std::map(process->writers))
            what(link);
    };
    switch (step.kind)
    {
    case core_fault::kill:
        if (!vms_[vm]->running)
            return;
        kill(vm);
        return time_.after(span,
                           [this, vm]
                           {
                               if (!vms_[vm]->running)
                                   start(vm);
                           });
    case core_fault::pause:
        return pause(vm, span);
    case core_fault::drain:
        return feed(vms_[vm], leave_requested{"an operator asked for it"});
    case core_fault::delist:
        if (vms_[vm]->running)
            set_listed(vm, true, true);
        return;
    case core_fault::table_down:
        return table_while([&] { table_.set_down(true); },
                           [this] { table_.set_down(false); });
    case core_fault::table_cut:
        return table_while([&] { table_.set_reachable(id, false); },
                           [this, id] { table_.set_reachable(id, true); });
    case core_fault::table_slow:
        return table_while([&] { table_.set_latency(60ms); },
                           [this] { table_.set_latency(1ms); });
    case core_fault::lose_table_answers:
        return table_while([&] { table_.lose_answers(true); },
                           [this] { table_.lose_answers(false); });
    case core_fault::late_writes:
        return table_while([&] { table_.delay_writes(300ms); },
                           [this] { table_.delay_writes({}); });
    case core_fault::lag_reads:
        return table_while([&] { table_.lag_reads(400ms); },
                           [this] { table_.lag_reads({}); });
    case core_fault::objects_down:
        return for_a_while(objects_down_);
    case core_fault::engine_restart:
        return engine.restart();
    case core_fault::engine_unreachable:
        return for_a_while(engine.faults.unreachable);
    case core_fault::failed_loads:
        return for_a_while(engine.faults.failed_loads);
    case core_fault::slow_loads:
        return for_a_while(engine.faults.slow_loads);
    case core_fault::lost_orders:
        return for_a_while(engine.faults.lost_orders);
    case core_fault::silent_streams:
        return for_a_while(engine.faults.silent_streams);
    case core_fault::cut_streams:
        return for_a_while(engine.faults.cut_streams);
    case core_fault::wrong_echo:
        return for_a_while(engine.faults.wrong_echo);
    case core_fault::crossed_events:
        return for_a_while(engine.faults.crossed_events);
    case core_fault::skipped_events:
        return for_a_while(engine.faults.skipped_events);
    case core_fault::slow_network:
        return for_a_while(context_.slow_network);
    case core_fault::lose_messages:
        return for_a_while(lose_messages_);
    case core_fault::silent_links:
        return each_link([](core_link_ptr const& link)
                         { link->silent = true; });
    case core_fault::cut_links:
        return each_link([this](core_link_ptr const& link)
                         { break_link(link); });
    case core_fault::service_silent:
        return for_a_while(service_silent_);
    case core_fault::service_cut:
        return for_a_while(service_cut_);
    case core_fault::service_refuses:
        return for_a_while(service_refuses_);
    case core_fault::confirm:
        return confirm(vm);
    case core_fault::racing_confirms:
        confirm(vm);
        return confirm(vm + 1);
    }
}

} // namespace mulberry::tests
