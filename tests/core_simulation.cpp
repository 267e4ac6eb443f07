#include "core_simulation.hpp"

#include "declaration_text.hpp"
#include "worker_row.hpp"

#include <utility>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;
constexpr duration report_interval = 50ms;
constexpr duration list_interval = 200ms;
constexpr duration list_lag = 200ms;
constexpr std::size_t workers = 3;
constexpr std::size_t adapters = 8;
/// How long after a VM starts to leave it may still accept work: its drain
/// grace and a few seconds more, at the simulation's time scale.
constexpr duration leave_bound = 1000ms;
/// How long after a confirm an older version may stay in force.
constexpr duration configuration_bound = 800ms;
constexpr duration replacement_delay = 300ms;
/// By then an owner has removed the intent of an order that has ended.
constexpr duration intent_removal_time = 1500ms;

declaration first_declaration()
{
    declaration all;
    all.deployment = "test";
    all.store = {200, 16};
    for (std::size_t each = 0; each < workers; ++each)
    {
        worker_declaration worker;
        worker.id = worker_id("w" + std::to_string(each));
        worker.base_model = base_model_id("base");
        worker.domain = domain_id("domain");
        worker.url = "http://127.0.0.1:" + std::to_string(7001 + each);
        worker.batch_slots = 3;
        worker.adapter_slots = 2;
        worker.checks_fence = each == 0;
        all.workers[worker.id] = worker;
    }
    for (std::size_t each = 0; each < adapters; ++each)
    {
        adapter_declaration adapter;
        adapter.id = adapter_id("a" + std::to_string(each));
        adapter.base_model = base_model_id("base");
        adapter.versions = {adapter_version(1), adapter_version(2)};
        adapter.applications = {application_id("notes")};
        all.adapters[adapter.id] = adapter;
    }
    service_declaration service;
    service.id = service_id("recordsvc");
    for (char const* const number : {"1", "2", "3"})
        service.workers.push_back(
            {service_worker_id(std::string("s") + number), domain_id("domain"),
             std::string("http://127.0.0.1:800") + number});
    all.services[service.id] = service;
    return all;
}

} // namespace

// Durations are a fifth of the product's settings, so that a schedule of
// several lease lengths is short.
core_settings core_simulation::make_settings(std::size_t vm)
{
    core_settings made;
    vm_id const id("vm" + std::to_string(vm));
    made.ownership.vm = id;
    made.ownership.domain = domain_id("domain");
    made.ownership.address = "10.0.0." + std::to_string(vm) + ":7000";
    made.ownership.lease = 600ms;
    made.ownership.heartbeat = 100ms;
    made.ownership.lease_margin = 100ms;
    made.ownership.delisted_after = 1000ms;
    made.ownership.handover_interval = 100ms;
    made.ownership.table_timeout = 200ms;
    made.ownership.seed = random_();
    made.configuration.vm = id;
    made.configuration.poll_interval = 200ms;
    made.configuration.staleness_bound = configuration_bound;
    made.configuration.outage_after = 300ms;
    made.configuration.promise_duration = 600ms;
    made.configuration.table_timeout = 200ms;
    made.configuration.confirm_timeout = 2000ms;
    made.configuration.seed = random_();
    made.services.vm = id;
    made.services.table_timeout = 200ms;
    made.services.hedge_delay = 300ms;
    made.services.late_answer_wait = 1000ms;
    made.services.seed = random_();
    made.entry.vm = id;
    made.entry.unowned_wait = 1600ms;
    made.entry.progress_timeout = 400ms;
    made.entry.retry_base = 10ms;
    made.entry.retry_cap = 200ms;
    made.entry.seed = random_();
    made.dispatch.max_deadline = 2500ms;
    made.dispatch.progress_timeout = 400ms;
    made.dispatch.order_timeout = 1500ms;
    made.dispatch.intent_timeout = 400ms;
    made.dispatch.settle_time = 400ms;
    made.dispatch.load_backoff = 100ms;
    made.dispatch.starvation_timeout = 400ms;
    made.hint_interval = 40ms;
    made.drain_grace = 400ms;
    // The invariants must hold under every policy.
    made.policy = policy_names()[seed_ % policy_names().size()];
    made.seed = random_();
    return made;
}

core_simulation::core_simulation(std::size_t vms, std::uint64_t seed,
                                 safeguards const& checks)
    : seed_(seed), random_(seed),
      checks_(checks), context_{time_, random_, invariants_.seen,
                                [this](core_link_ptr const& link,
                                       core_event event)
                                { send(link, std::move(event)); }},
      table_(time_, seed), declared_(first_declaration())
{
    for (auto const& [id, worker] : declared_.workers)
        engines_.emplace(id, core_engine(context_, worker));
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        vms_.push_back(nullptr);
        set_listed(vm, true, false);
        start(vm);
    }
}

void core_simulation::start(std::size_t vm)
{
    auto const process = std::make_shared<core_process>();
    process->vm = vm;
    process->id = vm_id("vm" + std::to_string(vm));
    process->core = std::make_unique<vm_core>(make_settings(vm), checks_);
    process->woken_at = time_.now();
    vms_[vm] = process;
    action_list actions;
    process->core->start(time_.now(), actions);
    for (action const& each : actions)
        perform(process, each);
    every(process, tick_interval, [this, process] { tick(process); });
    every(process, list_interval, [this, process] { read_list(process); });
    every(process, report_interval,
          [this, process]
          {
              for (worker_id const& worker : process->core->watched_workers())
                  if (!engines_.at(worker).faults.unreachable)
                      time_.after(
                          context_.between(1, 60),
                          [this, process, shown = engines_.at(worker).report()]
                          { feed(process, shown); });
          });
}

void core_simulation::every(core_process_ptr const& process, duration wait,
                            std::function<void()> what)
{
    time_.after(wait,
                [this, process, wait, what = std::move(what)]
                {
                    if (!process->running)
                        return;
                    if (!process->paused)
                        what();
                    every(process, wait, what);
                });
}

void core_simulation::feed(core_process_ptr const& process, core_event event)
{
    if (!process->running)
        return;
    if (process->paused)
        process->inbox.push_back(std::move(event));
    else
        handle(process, event);
}

void core_simulation::handle(core_process_ptr const& process,
                             core_event const& event)
{
    record_late_arrival(process, event);
    action_list actions;
    process->core->handle(event, time_.now(), actions);
    for (action& each : actions)
        process->outbox.push_back(std::move(each));
    for (confirm_result const& each : process->core->take_confirms())
        if (auto const* version = std::get_if<config_version>(&each.result))
        {
            ++counts_.confirms;
            invariants_.confirmed(*version, time_.now());
        }
    if (process->flush_due || process->outbox.empty())
        return;
    // Actions are performed later, so that a process can be paused or killed
    // between a decision and its action.
    process->flush_due = true;
    time_.after(context_.between(0, 1),
                [this, process]
                {
                    if (process->running && !process->paused)
                        flush(process);
                });
}

void core_simulation::record_late_arrival(core_process_ptr const& process,
                                          core_event const& event)
{
    time_point const now = time_.now();
    bool noticed = std::holds_alternative<leave_requested>(event);
    if (auto const* listed = std::get_if<vm_list_received>(&event))
        for (listed_vm const& each : listed->vms)
            noticed = noticed || (each.vm == process->id && each.leaving);
    if (noticed && !process->left_at)
        process->left_at = now;
    if (!process->left_at || now <= *process->left_at + leave_bound)
        return;
    if (auto const* model = std::get_if<model_request_arrived>(&event))
        process->late_requests.insert(model->request.id.str());
    else if (auto const* call = std::get_if<service_request_arrived>(&event))
        process->late_requests.insert(call->request.id.str());
    else if (auto const* forwarded =
                 std::get_if<forwarded_request_arrived>(&event))
        process->late_requests.insert(forwarded->request.id.str());
}

void core_simulation::flush(core_process_ptr const& process)
{
    process->flush_due = false;
    while (process->running && !process->outbox.empty())
    {
        action const next = std::move(process->outbox.front());
        process->outbox.pop_front();
        perform(process, next);
    }
}

void core_simulation::tick(core_process_ptr const& process)
{
    handle(process, clock_ticked{});
    check_admission(process);
    if (process->core->can_exit(time_.now()))
        end_gracefully(process);
}

void core_simulation::check_admission(core_process_ptr const& process)
{
    if (process->core->takes_new_work(time_.now()) && process->core->declared())
        invariants_.check_admitted_version(
            process->id, process->core->status(time_.now()).configuration,
            time_.now(), configuration_bound);
}

void core_simulation::pause(std::size_t vm, duration span)
{
    core_process_ptr const process = vms_[vm];
    if (!process->running || process->paused)
        return;
    process->paused = true;
    time_.after(span,
                [this, process]
                {
                    process->paused = false;
                    process->woken_at = time_.now();
                    if (process->running)
                        flush(process);
                    while (process->running && !process->inbox.empty())
                    {
                        core_event const next = process->inbox.front();
                        process->inbox.pop_front();
                        handle(process, next);
                    }
                });
}

void core_simulation::kill(std::size_t vm)
{
    core_process_ptr const process = vms_[vm];
    if (!process->running)
        return;
    process->running = false;
    process->core.reset();
    for (request_id const& each : process->unanswered)
    {
        invariants_.seen.withdrawn(each);
        outcomes_[each] = "killed";
    }
    close_connections(process);
}

void core_simulation::close_connections(core_process_ptr const& process)
{
    for (auto const& [attempt, link] : std::exchange(process->open, {}))
        close_link(link);
    for (auto const& [request, link] : std::exchange(process->writers, {}))
        break_link(link);
}

void core_simulation::end_gracefully(core_process_ptr const& process)
{
    flush(process);
    ++counts_.ended;
    invariants_.ended(process->id,
                      process->unanswered.size() + process->writers.size());
    kill(process->vm);
    set_listed(process->vm, false, false);
    time_.after(replacement_delay,
                [this]
                {
                    vms_.push_back(nullptr);
                    set_listed(vms_.size() - 1, true, false);
                    start(vms_.size() - 1);
                });
}

void core_simulation::confirm(std::size_t vm)
{
    core_process_ptr const process = process_for(vm);
    if (!process)
        return;
    declaration next = declared_;
    adapter_declaration added = next.adapters.begin()->second;
    added.id = adapter_id("extra" + std::to_string(++confirms_));
    next.adapters[added.id] = added;
    std::string const text = write_declaration(next);
    feed(process,
         confirm_requested{++tickets_,
                           process->core->status(time_.now()).configuration,
                           digest_of(text), text});
}

void core_simulation::set_listed(std::size_t vm, bool present, bool leaving)
{
    vm_id const id("vm" + std::to_string(vm));
    std::erase_if(listed_,
                  [&](listed_vm const& each) { return each.vm == id; });
    if (present)
        listed_.push_back({id, leaving});
    lists_.push_back({time_.now(), listed_});
}

void core_simulation::read_list(core_process_ptr const& process)
{
    std::vector<listed_vm> shown = lists_.front().vms;
    for (listed_state const& each : lists_)
        if (each.since + list_lag <= time_.now())
            shown = each.vms;
    feed(process, vm_list_received{shown});
}

std::set<std::string> core_simulation::recorded_intents() const
{
    std::set<std::string> intents;
    for (table_row const& each : table_.rows(worker_prefix))
    {
        auto const row = parse_worker_row(each.value);
        for (engine_name const& name : row->intents)
            intents.insert(each.key + " keeps the intent to unload " +
                           name.str());
    }
    return intents;
}

/// Checks that no intent stays in a row: the adapter's name could never be used
/// again. An adapter may just have been evicted, and owners collect what leaves
/// their rows for a while.
void core_simulation::check_intents()
{
    std::set<std::string> const before = recorded_intents();
    run_for(intent_removal_time);
    for (std::string const& each : recorded_intents())
        if (before.count(each) > 0)
            invariants_.report_service_failure(each);
}

core_status core_simulation::status(std::size_t vm) const
{
    return vms_[vm]->core->status(time_.now());
}

void core_simulation::warm_up()
{
    run_for(300ms);
    confirm(0);
    run_for(700ms);
}

std::vector<invariant_violation> core_simulation::run(core_schedule const& what)
{
    warm_up();
    time_point const begun = time_.now();
    time_point faults_end = begun;
    for (core_step const& step : what.steps)
    {
        time_point const at = begun + std::chrono::milliseconds(step.at_ms);
        time_.at(at, [this, step] { inject(step); });
        faults_end =
            std::max(faults_end, at + std::chrono::milliseconds(step.span_ms));
    }
    traffic_until(faults_end + 500ms);
    // Longer than a lease, the lag of the VM list and a request's deadline.
    run_for(3500ms);
    check_service();
    run_for(2500ms);
    check_intents();
    return check();
}

} // namespace mulberry::tests
