#include "ownership_cluster.hpp"

#include "worker_row.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr duration list_interval = 1s;
constexpr duration max_request_duration = 2s;
constexpr duration max_unload_duration = 1s;

} // namespace

ownership_cluster::ownership_cluster(cluster_options options,
                                     std::uint64_t seed,
                                     ownership_rules const& rules)
    : options_(options), rules_(rules), table_(time_, seed), random_(seed)
{
    table_.observe([this](auto const&, auto const& after)
                   { check_row_write(after); });
    for (std::size_t each = 0; each < options.workers; ++each)
        workers_.emplace_back("w" + std::to_string(each));
    for (std::size_t each = 0; each < options.vms; ++each)
    {
        add_vm();
        if (options.start_interval > duration(0))
            run_for(options.start_interval);
    }
}

ownership_cluster::~ownership_cluster() = default;

duration ownership_cluster::random_below(duration limit)
{
    return duration(static_cast<duration::rep>(
        random_() % static_cast<std::uint64_t>(limit.count())));
}

std::size_t ownership_cluster::add_vm()
{
    std::size_t const vm = vms_.size();
    vms_.push_back({vm_id("vm" + std::to_string(vm)), true, nullptr});
    start(vm);
    return vm;
}

void ownership_cluster::start(std::size_t vm)
{
    auto const started = std::make_shared<process>();
    started->number = ++processes_;
    started->vm = vm;
    ownership_settings settings;
    settings.vm = vms_[vm].id;
    settings.domain = domain_id("domain");
    settings.address = "10.0.0." + std::to_string(vm) + ":7000";
    settings.heartbeat = options_.heartbeat;
    settings.settle = options_.settle;
    settings.lease = options_.lease;
    settings.seed = random_();
    settings.owners = options_.owners;
    started->keeper = std::make_unique<ownership_keeper>(settings, checks_,
                                                         started->ids, rules_);
    vms_[vm].running = started;
    call(started,
         [this](ownership_keeper& keeper, action_list& actions)
         {
             if (options_.load_rows_first)
             {
                 keeper.set_initial_rows(table_.rows(""), actions);
                 keeper.set_workers(workers_, now(), actions);
             }
             keeper.start(now(), actions);
             if (!options_.load_rows_first)
                 keeper.set_workers(workers_, now(), actions);
         });
    run_later(started, random_below(options_.tick),
              [this, started] { tick(started); });
    run_later(started, random_below(list_interval),
              [this, started] { deliver_vm_list(started); });
}

void ownership_cluster::kill(std::size_t vm)
{
    process_ptr const ended = std::exchange(vms_[vm].running, nullptr);
    if (!ended)
        return;
    ended->keeper.reset();
    ended->waiting.clear();
}

void ownership_cluster::delist(std::size_t vm)
{
    vms_[vm].listed = false;
}

void ownership_cluster::pause(std::size_t vm)
{
    if (vms_[vm].running)
        vms_[vm].running->paused = true;
}

void ownership_cluster::resume(std::size_t vm)
{
    process_ptr const woken = vms_[vm].running;
    if (!woken)
        return;
    woken->paused = false;
    while (!woken->paused && !woken->waiting.empty())
    {
        auto const next = woken->waiting.front();
        woken->waiting.pop_front();
        run_task(woken, next);
    }
}

void ownership_cluster::leave(std::size_t vm)
{
    process_ptr const leaving = vms_[vm].running;
    if (!leaving)
        return;
    leaving->closing = true;
    run_task(leaving,
             [this, leaving]
             {
                 call(leaving,
                      [this](ownership_keeper& keeper, action_list& actions)
                      { keeper.leave(now(), actions); });
             });
}

void ownership_cluster::undeclare(worker_id const& worker)
{
    std::erase(workers_, worker);
    for (machine const& each : vms_)
        if (each.running)
            call(each.running,
                 [this](ownership_keeper& keeper, action_list& actions)
                 { keeper.set_workers(workers_, now(), actions); });
}

void ownership_cluster::add_foreign_write(std::string const& key,
                                          std::string const& value,
                                          duration after)
{
    time_.at(now() + after,
             [this, key, value] { table_.put_foreign(key, value); });
}

void ownership_cluster::add(ownership_fault const& fault)
{
    time_point const begin = now() + fault.at;
    time_point const end = begin + fault.length;
    std::size_t const vm = fault.vm % vms_.size();
    auto const both = [&](auto at_begin, auto at_end)
    {
        time_.at(begin, at_begin);
        time_.at(end, at_end);
    };
    switch (fault.kind)
    {
    case fault_kind::pause:
        return both([this, vm] { pause(vm); }, [this, vm] { resume(vm); });
    case fault_kind::cut:
        return both([this, vm] { table_.set_reachable(vms_[vm].id, false); },
                    [this, vm] { table_.set_reachable(vms_[vm].id, true); });
    case fault_kind::restart:
        return both([this, vm] { kill(vm); },
                    [this, vm]
                    {
                        if (!vms_[vm].running && vms_[vm].listed)
                            start(vm);
                    });
    case fault_kind::replace:
        return both(
            [this, vm]
            {
                kill(vm);
                delist(vm);
            },
            [this] { add_vm(); });
    case fault_kind::leave:
        return both([this, vm] { leave(vm); }, [this] { add_vm(); });
    case fault_kind::table_down:
        return both([this] { table_.set_down(true); },
                    [this] { table_.set_down(false); });
    case fault_kind::lost_answers:
        return both([this] { table_.lose_answers(true); },
                    [this] { table_.lose_answers(false); });
    case fault_kind::late_writes:
        return both([this] { table_.delay_writes(1300ms); },
                    [this] { table_.delay_writes({}); });
    case fault_kind::lagging_reads:
        return both([this] { table_.lag_reads(1500ms); },
                    [this] { table_.lag_reads({}); });
    case fault_kind::refused:
        return both([this] { table_.refuse(true); },
                    [this] { table_.refuse(false); });
    }
}

void ownership_cluster::run_task(process_ptr const& on, virtual_time::task what)
{
    if (!on->keeper)
        return;
    if (on->paused)
        on->waiting.push_back(std::move(what));
    else
        what();
}

void ownership_cluster::run_later(process_ptr const& on, duration wait,
                                  virtual_time::task what)
{
    time_.after(wait, [this, on, what] { run_task(on, what); });
}

void ownership_cluster::call(process_ptr const& on, keeper_call const& what)
{
    action_list actions;
    what(*on->keeper, actions);
    execute(on, actions);
    for (ownership_event const& event : on->keeper->take_events())
        std::visit([this, &on](auto const& each) { on_event(on, each); },
                   event);
}

void ownership_cluster::execute(process_ptr const& on,
                                action_list const& actions)
{
    for (action const& each : actions)
    {
        if (auto const* const note = std::get_if<publish_event>(&each))
            ++events_[note->kind];
        auto const answer = [this, on](table_reply const& reply)
        {
            run_task(on,
                     [this, on, reply]
                     {
                         call(on,
                              [&](ownership_keeper& keeper, action_list& out)
                              {
                                  if (!keeper.knows(reply.operation))
                                      add_violation("a table reply belongs to "
                                                    "no known operation");
                                  else
                                      keeper.on_table(reply, now(), out);
                              });
                     });
        };
        table_.submit(vms_[on->vm].id, each, answer);
    }
}

void ownership_cluster::tick(process_ptr const& on)
{
    call(on, [this](ownership_keeper& keeper, action_list& actions)
         { keeper.tick(now(), actions); });
    check_leases();
    measure_gaps();
    if (options_.ticks_per_unload > 0 &&
        random_() % options_.ticks_per_unload == 0)
        request_random_unload(on);
    close_when_idle(on);
    run_later(on, options_.tick, [this, on] { tick(on); });
}

void ownership_cluster::close_when_idle(process_ptr const& on)
{
    if (!on->closing)
        return;
    bool const idle =
        std::all_of(on->active.begin(), on->active.end(),
                    [](auto const& each) { return each.second.empty(); });
    if (idle)
        call(on, [this](ownership_keeper& keeper, action_list& actions)
             { keeper.close(now(), actions); });
    if (!on->keeper->closed())
        return;
    std::size_t const vm = on->vm;
    time_.after(duration{}, [this, vm] { kill(vm); });
    delist(vm);
}

void ownership_cluster::deliver_vm_list(process_ptr const& on)
{
    std::vector<listed_vm> list;
    for (machine const& each : vms_)
        if (each.listed)
            list.push_back({each.id, false});
    call(on, [&](ownership_keeper& keeper, action_list& actions)
         { keeper.on_vm_list(list, now(), actions); });
    run_later(on, list_interval, [this, on] { deliver_vm_list(on); });
}

void ownership_cluster::request_random_unload(process_ptr const& on)
{
    if (on->owned.empty() || !on->keeper->lease_holds(now()))
        return;
    auto const owned =
        std::next(on->owned.begin(),
                  static_cast<std::ptrdiff_t>(random_() % on->owned.size()));
    order_id const order = on->ids.next_order();
    engine_name const name("a@" + std::to_string(order.value()) + "#" +
                           std::to_string(owned->second.value()));
    record_intent const intent{order, owned->first, name};
    on->unsettled[order] = {intent, now()};
    call(on, [&](ownership_keeper& keeper, action_list& actions)
         { keeper.request_intent(intent, now(), actions); });
}

void ownership_cluster::on_event(process_ptr const& by,
                                 worker_gained const& event)
{
    fencing_number const fence = event.grant.fence;
    if (!owners_.emplace(std::pair(event.worker, fence), by->number).second)
        add_violation("two owners under one fencing number");
    by->owned[event.worker] = fence;
    by->active[event.worker].insert(fence);
    by->suspected.erase(event.worker);
    if (event.grant.has_suspects)
        by->suspected[event.worker];
    else
        check_earlier_owners_stopped(*by, event.worker,
                                     "granted without suspects");
    auto const& inherited = event.grant.open_intents;
    bool const lost = std::find(inherited.begin(), inherited.end(),
                                engine_name(lost_intents)) != inherited.end();
    for (auto const& [name, recorded_under] : open_intents_[event.worker])
        if (!lost && std::find(inherited.begin(), inherited.end(), name) ==
                         inherited.end())
            add_violation("a recorded intent is not in a later grant");
    for (engine_name const& name : inherited)
        forget_later(by, event.worker, name);
}

void ownership_cluster::on_event(process_ptr const& by,
                                 worker_lost const& event)
{
    by->owned.erase(event.worker);
    run_later(by, random_below(max_request_duration),
              [this, by, worker = event.worker] { release(by, worker); });
}

void ownership_cluster::release(process_ptr const& by, worker_id const& worker)
{
    std::set<fencing_number>& active = by->active[worker];
    auto const owned = by->owned.find(worker);
    active.clear();
    if (owned != by->owned.end())
        active.insert(owned->second);
    call(by, [&](ownership_keeper& keeper, action_list& actions)
         { keeper.released(worker, now(), actions); });
}

void ownership_cluster::on_event(process_ptr const& by,
                                 suspects_cleared const& event)
{
    check_earlier_owners_stopped(*by, event.worker, "suspects cleared");
    for (engine_name const& name : by->suspected[event.worker])
        close_intent(event.worker, name, by->owned.at(event.worker));
    by->suspected.erase(event.worker);
}

void ownership_cluster::close_intent(worker_id const& worker,
                                     engine_name const& name,
                                     fencing_number owned)
{
    auto& open = open_intents_[worker];
    open.erase(name);
    if (name == engine_name(lost_intents))
        std::erase_if(open, [owned](auto const& each)
                      { return each.second < owned; });
}

void ownership_cluster::check_earlier_owners_stopped(process const& owner,
                                                     worker_id const& worker,
                                                     std::string const& what)
{
    // Only earlier owners count: this owner may have been paused, and a later
    // owner may be sending already.
    fencing_number const fence = owner.owned.at(worker);
    for (machine const& each : vms_)
    {
        if (!each.running)
            continue;
        auto const& active = each.running->active[worker];
        if (!active.empty() && *active.begin() < fence)
            add_violation(what + " while an earlier owner may still send");
    }
}

void ownership_cluster::on_event(process_ptr const& by,
                                 intent_settled const& event)
{
    auto const settled = by->unsettled.extract(event.order);
    if (settled.empty())
        return add_violation("an intent was settled twice");
    if (!event.recorded)
        return;
    engine_name const& name = settled.mapped().first.name;
    open_intents_[event.worker][name] = by->owned.at(event.worker);
    forget_later(by, event.worker, name);
}

void ownership_cluster::forget_later(process_ptr const& by,
                                     worker_id const& worker,
                                     engine_name const& name)
{
    run_later(by, random_below(max_unload_duration),
              [this, by, worker, name] { forget(by, worker, name); });
}

void ownership_cluster::forget(process_ptr const& by, worker_id const& worker,
                               engine_name const& name)
{
    auto const owned = by->owned.find(worker);
    if (owned == by->owned.end())
        return;
    auto const suspected = by->suspected.find(worker);
    bool const own =
        name.str().ends_with("#" + std::to_string(owned->second.value()));
    if (own || suspected == by->suspected.end())
        close_intent(worker, name, owned->second);
    else
        suspected->second.insert(name);
    call(by,
         [&](ownership_keeper& keeper, action_list& actions) {
             keeper.forget_intent({worker, name}, now(), actions);
         });
}

void ownership_cluster::check_row_write(table_row const& after)
{
    if (after.key.starts_with(vm_prefix))
        return record_vm_row(after);
    auto const new_row = parse_worker_row(after.value);
    if (!new_row)
        return add_violation("a row cannot be read");
    auto const [known, added] = worker_rows_.try_emplace(after.key, *new_row);
    if (added)
        return;
    worker_row const old_row = std::exchange(known->second, *new_row);
    bool const moved = old_row.owner != new_row->owner;
    if (new_row->fence < old_row.fence ||
        (moved && new_row->fence == old_row.fence))
        add_violation("a fencing number did not rise");
}

void ownership_cluster::record_vm_row(table_row const& after)
{
    auto const row = parse_vm_row(after.value);
    if (!row)
        return add_violation("a row cannot be read");
    vm_rows_[vm_of_key(after.key)] = *row;
}

void ownership_cluster::check_leases()
{
    for (machine const& each : vms_)
    {
        if (!each.running || !each.running->keeper->lease_holds(now()))
            continue;
        vm_row const& row = vm_rows_.at(each.id);
        if (!is_member(row.state) ||
            row.incarnation_number !=
                each.running->keeper->incarnation_number())
            add_violation("a VM counts on its lease although it was expired");
    }
}

void ownership_cluster::measure_gaps()
{
    for (worker_id const& worker : workers_)
    {
        bool const served =
            std::any_of(vms_.begin(), vms_.end(),
                        [&](machine const& each)
                        {
                            return each.running && !each.running->paused &&
                                   each.running->owned.count(worker) > 0 &&
                                   each.running->keeper->lease_holds(now());
                        });
        auto const since =
            without_owner_since_.emplace(worker, now()).first->second;
        longest_gap_ = std::max(longest_gap_, now() - since);
        if (served)
            without_owner_since_.erase(worker);
    }
}

duration ownership_cluster::take_longest_gap()
{
    return std::exchange(longest_gap_, duration{});
}

std::size_t ownership_cluster::owned_by(std::size_t vm) const
{
    return vms_[vm].running ? vms_[vm].running->owned.size() : 0;
}

std::size_t ownership_cluster::owners() const
{
    std::size_t result = 0;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
        result += owned_by(vm) > 0;
    return result;
}

bool ownership_cluster::stands_by(std::size_t vm) const
{
    return vms_[vm].running && vms_[vm].running->keeper->stands_by();
}

std::uint64_t ownership_cluster::count(std::string const& kind) const
{
    auto const known = events_.find(kind);
    return known == events_.end() ? 0 : known->second;
}

void ownership_cluster::check_recovery()
{
    std::size_t members = 0;
    for (machine const& each : vms_)
        members += each.running && !each.running->closing ? 1 : 0;
    if (members == 0)
        return;
    if (options_.owners.min_owners > 0)
        members = std::min(members, options_.owners.min_owners);
    for (worker_id const& worker : workers_)
        check_worker(worker);
    std::size_t const most = (workers_.size() + members - 1) / members;
    for (machine const& each : vms_)
    {
        if (!each.running)
            continue;
        if (each.running->owned.size() > most)
            add_violation("a VM owns more than its share");
        for (auto const& [order, asked] : each.running->unsettled)
            if (now() - asked.second > 5s)
                add_violation("an intent was not settled in time");
    }
}

void ownership_cluster::check_worker(worker_id const& worker)
{
    std::vector<vm_id> owners;
    for (machine const& each : vms_)
        if (each.running && each.running->owned.count(worker) > 0 &&
            each.running->keeper->lease_holds(now()))
            owners.push_back(each.id);
    if (owners.size() != 1)
        return add_violation("a worker has " + std::to_string(owners.size()) +
                             " owners after recovery");
    for (machine const& each : vms_)
        if (each.running && each.running->keeper->owner_of(worker) != owners[0])
            add_violation("a VM knows another owner after recovery");
    auto const row = parse_worker_row(table_.row(worker_key(worker))->value);
    if (!row)
        return add_violation("a row is unreadable after recovery");
    if (!row->suspects.empty())
        add_violation("suspects were never cleared");
}

void ownership_cluster::add_violation(std::string text)
{
    violations_.push_back(std::move(text));
}

} // namespace mulberry::tests
