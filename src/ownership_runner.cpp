#include "ownership_runner.hpp"

#include "boot_clock.hpp"
#include "vm_row.hpp"
#include "worker_row.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

/// Interval of calls to ownership_keeper::tick(); the keeper's deadlines are
/// hundreds of milliseconds apart.
constexpr std::chrono::milliseconds tick_interval{100};
/// For this many heartbeat intervals after it registered, a VM reads its rows
/// from the store, not from a reader.
constexpr int strict_heartbeats = 2;

table_outcome outcome_of(store_outcome outcome)
{
    switch (outcome)
    {
    case store_outcome::done:
        return table_outcome::done;
    case store_outcome::conflict:
        return table_outcome::conflict;
    case store_outcome::refused:
        return table_outcome::refused;
    case store_outcome::history_lost:
    case store_outcome::unreachable:
        break;
    }
    return table_outcome::unreachable;
}

table_row to_table_row(stored_row const& row)
{
    return {row.key, row.deleted ? row_version() : row.version, row.value};
}

} // namespace

ownership_runner::ownership_runner(asio::io_context& io, row_store& store,
                                   row_mirror& mirror,
                                   ownership_run_options options,
                                   event_log& log, ownership_listener listener)
    : io_(io), store_(store), mirror_(mirror), options_(std::move(options)),
      log_(log), listener_(std::move(listener)),
      keeper_(options_.keeper, checks_, ids_), timer_(io)
{
}

void ownership_runner::start()
{
    keeper_start_deadline_ = boot_clock::now() + options_.start_wait;
    tick();
}

void ownership_runner::start_keeper(time_point now)
{
    if (std::exchange(keeper_started_, true))
        return;
    action_list actions;
    if (mirror_.has_read(row_set::own))
    {
        std::vector<table_row> known;
        for (stored_row const& row : mirror_.rows(row_set::own))
            if (row.key.starts_with(vm_prefix) ||
                row.key.starts_with(worker_prefix))
                known.push_back(to_table_row(row));
        keeper_.set_initial_rows(known, actions);
    }
    keeper_.start(now, actions);
    after_change(actions);
}

void ownership_runner::set_workers(std::vector<backend_entry> const& workers)
{
    std::set<worker_id> listed;
    std::map<worker_id, domain_id> domains;
    std::map<worker_id, worker_start> incarnations;
    for (backend_entry const& each : workers)
    {
        listed.insert(each.id);
        incarnations.emplace(each.id, each.started);
        domains.emplace(each.id, each.domain);
    }
    keeper_.set_incarnations(incarnations);
    time_point const now = boot_clock::now();
    if (listed != declared_ || !keeper_started_)
    {
        declared_ = listed;
        action_list actions;
        keeper_.set_domains(std::move(domains));
        keeper_.set_workers({listed.begin(), listed.end()}, now, actions);
        after_change(actions);
    }
    workers_known_ = true;
    if (has_initial_rows())
        start_keeper(now);
}

bool ownership_runner::has_initial_rows() const
{
    return workers_known_ && mirror_.has_read(row_set::own);
}

void ownership_runner::set_cut_off(bool cut_off)
{
    action_list actions;
    keeper_.set_cut_off(cut_off, boot_clock::now(), actions);
    after_change(actions);
}

bool ownership_runner::may_order(worker_id const& worker) const
{
    time_point const now = boot_clock::now();
    auto const grant = grants_.find(worker);
    return grant != grants_.end() && now >= grant->second.orders_from &&
           keeper_.lease_holds(now);
}

void ownership_runner::tick()
{
    time_point const now = boot_clock::now();
    if (has_initial_rows() || now >= keeper_start_deadline_)
        start_keeper(now);
    action_list actions;
    keeper_.tick(now, actions);
    after_change(actions);
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                tick();
        });
}

void ownership_runner::after_change(action_list const& actions)
{
    observe_owners();
    handle_events();
    execute(actions);
}

void ownership_runner::observe_owners()
{
    for (worker_id const& worker : declared_)
    {
        fencing_number const fence = keeper_.fence_of(worker);
        if (!fence.none())
            recorded_owners_[worker].try_emplace(
                fence, recorded_owner{keeper_.recorded_owner_of(worker),
                                      keeper_.version_of(worker)});
    }
    std::erase_if(recorded_owners_, [this](auto const& each)
                  { return declared_.count(each.first) == 0; });
}

/// Returns when this VM may begin to issue orders to a worker that it owns
/// under `fence`. Failure: the previous and the new owner of a worker issue
/// orders within a short time, and a late order of the previous owner is
/// executed among those of the new owner. The previous owner issued its last
/// order before the worker's row changed, so the new owner waits for the order
/// gap from then on. No gap is needed if the worker had no owner, if the last
/// owner's lease lapsed (it stopped issuing orders a gap before that), or if
/// this VM itself was the last owner, before a restart. In the latter two
/// cases, however, the last owner may have been handed the worker just before,
/// even as an incarnation that had already ended; then the VM that handed the
/// worker over issued the last order. So the row that names the last owner must
/// be at least a gap old.
time_point ownership_runner::orders_from(worker_id const& worker,
                                         fencing_number fence,
                                         time_point now) const
{
    time_point const after_gap = now + options_.order_gap;
    auto const recorded = recorded_owners_.find(worker);
    for (std::uint64_t before = fence.value() - 1; before > 0; --before)
    {
        if (recorded == recorded_owners_.end())
            return after_gap;
        auto const owner = recorded->second.find(fencing_number(before));
        if (owner == recorded->second.end())
            return after_gap;
        vm_id const& vm = owner->second.vm;
        if (vm.empty())
            continue;
        bool const orders_no_more =
            vm == options_.keeper.vm || keeper_.member(vm) == nullptr;
        bool const settled =
            owner->second.version <= keeper_.settled_version(now);
        return orders_no_more && settled ? now : after_gap;
    }
    return now;
}

void ownership_runner::handle_events()
{
    time_point const now = boot_clock::now();
    bool changed = false;
    action_list actions;
    for (ownership_event const& event : keeper_.take_events())
    {
        if (auto const* gained = std::get_if<worker_gained>(&event))
        {
            owned_worker const grant{
                gained->grant.fence,
                orders_from(gained->worker, gained->grant.fence, now),
                gained->grant.first_incarnation};
            grants_[gained->worker] = grant;
            changed = true;
            log_.notable(
                "worker owned",
                log_fields()
                    .add("worker", gained->worker.str())
                    .add("fence", grant.fence.value())
                    .add("first_started", grant.first_incarnation.value())
                    .add("orders_in_ms", grant.orders_from - now),
                now);
        }
        else if (auto const* lost = std::get_if<worker_lost>(&event))
        {
            grants_.erase(lost->worker);
            keeper_.released(lost->worker, now, actions);
            changed = true;
            log_.notable("worker given up",
                         log_fields().add("worker", lost->worker.str()), now);
        }
    }
    bool const holds = keeper_.lease_holds(now);
    if (holds != held_lease_)
    {
        held_lease_ = holds;
        changed = true;
        log_.notable(holds ? "lease held" : "lease lapsed",
                     log_fields().add("workers", std::uint64_t{grants_.size()}),
                     now);
    }
    if (changed)
        publish_grants(holds);
    publish_members(now);
    execute(actions);
}

/// Failure: a VM that is partitioned from the store loses its lease, and its
/// workers' adapters are unused until another VM takes over, although requests
/// need no orders. So the VM keeps the workers that no other VM owns, without
/// the permission to issue orders.
void ownership_runner::publish_grants(bool lease_holds)
{
    std::map<worker_id, owned_worker> grants = grants_;
    if (!lease_holds)
        for (auto& [worker, grant] : grants)
            grant.orders_from = never;
    listener_.on_grants(std::move(grants));
}

void ownership_runner::publish_members(time_point now)
{
    std::vector<member_view> members = keeper_.members();
    if (members != members_)
    {
        members_ = members;
        log_.notable("members changed",
                     log_fields().add("members", std::uint64_t{members.size()}),
                     now);
        listener_.on_members(std::move(members));
    }
    std::map<worker_id, vm_id> others;
    for (worker_id const& worker : declared_)
        if (vm_id const owner = keeper_.owner_of(worker);
            owner != options_.keeper.vm && keeper_.member(owner) != nullptr)
            others.emplace(worker, owner);
    if (others != other_owners_)
    {
        other_owners_ = others;
        listener_.on_owners(std::move(others));
    }
}

void ownership_runner::execute(action_list const& actions)
{
    std::vector<scan_rows> scans;
    for (action const& each : actions)
    {
        if (auto const* write = std::get_if<transact>(&each))
            run(*write);
        else if (auto const* read = std::get_if<read_row>(&each))
            run(*read);
        else if (auto const* scan = std::get_if<scan_rows>(&each))
            scans.push_back(*scan);
        else if (auto const* told = std::get_if<publish_event>(&each))
            log_.notable(told->kind, log_fields().add("about", told->text),
                         boot_clock::now());
    }
    if (!scans.empty())
        run(std::move(scans));
}

void ownership_runner::run(transact const& what)
{
    store_.transact(
        row_set::own, what.transaction, what.deadline - boot_clock::now(),
        [this, what](store_reply const& reply)
        { asio::post(io_, [this, what, reply] { on_written(what, reply); }); });
}

/// The store answers a successful write with the version that all written rows
/// now have, and a conflict with those rows of the conditions that exist.
void ownership_runner::on_written(transact const& what,
                                  store_reply const& reply)
{
    table_reply made{what.operation, outcome_of(reply.outcome), {}};
    if (reply.outcome == store_outcome::done)
        for (table_write const& write : what.transaction.writes)
            made.rows.push_back({write.key,
                                 write.value ? reply.newest : row_version(),
                                 write.value.value_or("")});
    if (reply.outcome == store_outcome::conflict)
        for (table_condition const& condition : what.transaction.conditions)
        {
            auto const row = std::find_if(reply.rows.begin(), reply.rows.end(),
                                          [&condition](stored_row const& each) {
                                              return each.key == condition.key;
                                          });
            made.rows.push_back(row == reply.rows.end()
                                    ? table_row{condition.key, {}, {}}
                                    : to_table_row(*row));
        }
    deliver(made);
}

void ownership_runner::run(read_row const& what)
{
    store_.read(
        row_set::own, what.key, "", what.deadline - boot_clock::now(),
        [this, operation = what.operation, key = what.key](store_reply reply)
        {
            std::erase_if(reply.rows, [&key](stored_row const& row)
                          { return row.key != key; });
            asio::post(io_, [this, operation, reply = std::move(reply)]
                       { on_row_read(operation, reply); });
        });
}

/// Failure: rows that were read before this VM registered show too few members,
/// so this VM acquires workers beyond its share. So for a while after
/// registration, a scan needs rows as of the scan itself. A VM to which no
/// workers are assigned acquires none and needs no such rows.
bool ownership_runner::requires_current_rows(time_point now)
{
    if (!keeper_.registered())
    {
        registered_at_ = never;
        return false;
    }
    registered_at_ = std::min(registered_at_, now);
    return keeper_.assigned() &&
           now < registered_at_ + options_.keeper.heartbeat * strict_heartbeats;
}

/// Scans that are requested together are answered from one refresh.
void ownership_runner::run(std::vector<scan_rows> scans)
{
    bool const strict = requires_current_rows(boot_clock::now());
    mirror_.refresh_own(
        strict, [this, scans = std::move(scans)](bool current, time_point as_of)
        { on_scanned(scans, current, as_of); });
}

void ownership_runner::on_scanned(std::vector<scan_rows> const& scans,
                                  bool current, time_point as_of)
{
    std::vector<stored_row> const rows = mirror_.rows(row_set::own);
    for (scan_rows const& scan : scans)
    {
        table_reply reply{scan.operation,
                          current ? table_outcome::done
                                  : table_outcome::unreachable,
                          {},
                          as_of};
        if (current)
            for (stored_row const& row : rows)
                if (row.key.starts_with(scan.prefix))
                    reply.rows.push_back(to_table_row(row));
        deliver(reply);
    }
}

void ownership_runner::on_row_read(operation_id operation,
                                   store_reply const& reply)
{
    table_reply made{operation, outcome_of(reply.outcome), {}};
    for (stored_row const& row : reply.rows)
        made.rows.push_back(to_table_row(row));
    deliver(made);
}

void ownership_runner::deliver(table_reply const& reply)
{
    action_list actions;
    keeper_.on_table(reply, boot_clock::now(), actions);
    after_change(actions);
}

} // namespace mulberry
