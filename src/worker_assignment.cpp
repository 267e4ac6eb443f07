#include "worker_assignment.hpp"

#include "lapsed_members.hpp"
#include "placement.hpp"
#include "vm_rank.hpp"
#include "vm_row.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::size_t max_workers_per_takeover = 32;
/// A worker that this VM owned before it restarted stays with it for at least
/// this long, whichever VM it is assigned to: a new owner would give it no
/// orders for some seconds, while callers return after the restart.
constexpr std::chrono::seconds retention_after_restart{10};

} // namespace

worker_assignment::worker_assignment(ownership_context const& context,
                                     membership& members,
                                     safeguards const& checks)
    : context_(context), members_(members), checks_(checks)
{
}

void worker_assignment::set_workers(std::vector<worker_id> workers)
{
    std::sort(workers.begin(), workers.end());
    declared_ = std::move(workers);
    for (auto& [id, worker] : workers_)
        worker.set_declared(false);
    for (worker_id const& id : declared_)
        find_or_add(id).set_declared(true);
    assigned_generation_ = 0;
}

void worker_assignment::set_domains(std::map<worker_id, domain_id> domains)
{
    domains_ = std::move(domains);
    assigned_generation_ = 0;
}

void worker_assignment::set_incarnations(
    std::map<worker_id, worker_start> const& started)
{
    for (auto const& [worker, incarnation] : started)
        find_or_add(worker).set_incarnation(incarnation);
}

worker_ownership& worker_assignment::find_or_add(worker_id const& worker)
{
    return workers_.try_emplace(worker, worker, context_).first->second;
}

worker_ownership const* worker_assignment::find(worker_id const& worker) const
{
    auto const known = workers_.find(worker);
    return known == workers_.end() ? nullptr : &known->second;
}

bool worker_assignment::store(table_row const& row, time_point now)
{
    worker_ownership& worker = find_or_add(worker_of_key(row.key));
    if (!context_.rules.is_newer(worker.condition().version, row.version))
        return true;
    auto const parsed = read_worker_row(row);
    changed_ |= parsed ? worker.store(row.version, *parsed)
                       : worker.store_unreadable(row.version, now);
    return parsed.has_value();
}

bool worker_assignment::take_changed()
{
    return std::exchange(changed_, false);
}

bool worker_assignment::knows(operation_id operation) const
{
    if (pending_takeover_ && pending_takeover_->operation == operation)
        return true;
    return std::any_of(workers_.begin(), workers_.end(),
                       [operation](auto const& each)
                       { return each.second.knows(operation); });
}

void worker_assignment::on_table(table_reply const& reply, time_point now,
                                 action_list& actions)
{
    if (pending_takeover_ && pending_takeover_->operation == reply.operation)
        return on_takeover_reply(reply, now);
    for (auto& [id, worker] : workers_)
        if (worker.knows(reply.operation))
            changed_ |= worker.on_table(reply, now, actions);
}

void worker_assignment::on_takeover_reply(table_reply const& reply,
                                          time_point now)
{
    pending_takeover const done =
        *std::exchange(pending_takeover_, std::nullopt);
    if (reply.outcome != table_outcome::done)
    {
        for (auto const& [id, written] : done.written)
            if (reply.outcome != table_outcome::conflict)
                find_or_add(id).retry_later(now);
        for (table_row const& row : reply.rows)
            store_conflict(row, now);
        return;
    }
    for (table_row const& row : reply.rows)
    {
        auto const written = done.written.find(worker_of_key(row.key));
        if (row.key.starts_with(worker_prefix) && written != done.written.end())
            changed_ |=
                find_or_add(written->first).store(row.version, written->second);
    }
}

void worker_assignment::store_conflict(table_row const& row, time_point now)
{
    if (row.version.none())
        return;
    if (row.key.starts_with(worker_prefix))
        store(row, now);
    else
        members_.store(row);
}

void worker_assignment::reconcile(time_point now, action_list& actions)
{
    update_assignment(now);
    for (auto& [id, worker] : workers_)
    {
        worker.update_ownership(now, actions);
        update_handover(worker, now);
        worker.tick(now, actions);
    }
    take_unowned(now, actions);
}

void worker_assignment::update_assignment(time_point now)
{
    if (assigned_generation_ == members_.generation())
        return;
    assigned_generation_ = members_.generation();
    assigned_to_ = owners_among(members_.assignable());
    auto const assignment = assign(assigned_to_);
    for (worker_id const& id : declared_)
    {
        auto const vm = assignment.find(id);
        find_or_add(id).set_assignee(
            vm == assignment.end() ? vm_id() : vm->second, now);
    }
}

std::size_t worker_assignment::workers_in(domain_id const& domain) const
{
    return static_cast<std::size_t>(std::count_if(
        domains_.begin(), domains_.end(),
        [&domain](auto const& each) { return each.second == domain; }));
}

// Of each failure domain, the VMs that rank first; see owner_choice.hpp.
std::vector<vm_id>
worker_assignment::owners_among(std::vector<vm_id> const& vms) const
{
    owner_limits const& limits = context_.settings.owners;
    if (limits.min_owners == 0)
        return vms;
    std::map<domain_id, std::vector<ranked_vm>> by_domain;
    for (vm_id const& vm : vms)
        if (member_view const* const member = members_.member(vm))
            by_domain[member->domain].push_back({vm, member->millicores});
    std::vector<vm_id> owners;
    for (auto& [domain, ranked] : by_domain)
    {
        std::size_t const wanted = required_owners(limits, workers_in(domain));
        std::vector<vm_id> first = by_rank(std::move(ranked));
        first.resize(std::min(first.size(), wanted));
        owners.insert(owners.end(), first.begin(), first.end());
    }
    std::sort(owners.begin(), owners.end());
    return owners;
}

bool worker_assignment::owns_any() const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [this](auto const& each)
                       {
                           worker_row const* const row = each.second.row();
                           return each.second.is_active_owner() ||
                                  (row != nullptr &&
                                   row->owner.vm == context_.settings.vm);
                       });
}

bool worker_assignment::assigned() const
{
    return std::binary_search(assigned_to_.begin(), assigned_to_.end(),
                              context_.settings.vm);
}

bool worker_assignment::settled() const
{
    return read_at_ >=
           context_.registration.registered_at() + context_.settings.settle;
}

// If all owners of a failure domain fail at once, no owner is left to expire
// the others. So an owner whose row has been unchanged for a lease counts as
// missing.
owner_situation
worker_assignment::standby_situation(lapsed_members const& lapsed,
                                     time_point now) const
{
    owner_situation result;
    owner_limits const& limits = context_.settings.owners;
    vm_id const& self = context_.settings.vm;
    // Rows that are too old justify neither becoming an owner nor going on
    // standby.
    bool const recent = read_at_ + context_.settings.lease / 2 >= now;
    if (limits.min_owners == 0 || !context_.registration.registered() ||
        !recent)
        return result;
    vm_row const* const own_row = members_.row_of(self);
    result.settled = settled() && own_row != nullptr && own_row->ready;
    std::size_t owners = 0;
    std::vector<ranked_vm> standing_by;
    for (auto const& [vm, view] : members_.members())
    {
        if (view.domain != context_.settings.domain ||
            view.state != member_state::live || view.cut_off)
            continue;
        if (view.stands_by)
            standing_by.push_back({vm, view.millicores});
        else
            owners += vm == self || !lapsed.appears_lapsed(vm, now);
    }
    std::size_t const wanted =
        required_owners(limits, workers_in(context_.settings.domain));
    result.is_surplus = owners > wanted && !assigned() &&
                        assigned_generation_ == members_.generation() &&
                        !pending_takeover_ && !owns_any();
    result.missing_owners = wanted - std::min(wanted, owners);
    if (result.missing_owners == 0)
        return result;
    std::vector<vm_id> const order = by_rank(std::move(standing_by));
    result.rank = static_cast<std::size_t>(
        std::find(order.begin(), order.end(), self) - order.begin());
    return result;
}

std::map<worker_id, vm_id>
worker_assignment::assign(std::vector<vm_id> const& vms) const
{
    std::map<domain_id, std::vector<vm_id>> vms_of;
    for (vm_id const& vm : vms)
        if (member_view const* const member = members_.member(vm))
            vms_of[member->domain].push_back(vm);
    std::map<domain_id, std::vector<worker_id>> workers_of;
    for (worker_id const& worker : declared_)
    {
        auto const domain = domains_.find(worker);
        bool const served =
            domain != domains_.end() && vms_of.count(domain->second) > 0;
        workers_of[served ? domain->second : domain_id()].push_back(worker);
    }
    std::map<worker_id, vm_id> assignment;
    for (auto const& [domain, workers] : workers_of)
        assignment.merge(
            assign_workers(workers, domain.empty() ? vms : vms_of.at(domain)));
    return assignment;
}

void worker_assignment::update_handover(worker_ownership& worker,
                                        time_point now)
{
    if (must_hand_over(worker))
        return worker.hand_over(handover_target(worker));
    vm_id const& assignee = worker.assignee();
    if (assignee.empty() || assignee == context_.settings.vm)
        worker.cancel_handover();
    if (worker.handing_over())
        // The handover has begun; only its target may still change.
        return worker.hand_over(handover_target(worker));
    if (!may_rebalance(worker, now))
        return;
    worker.hand_over(handover_target(worker));
    next_handover_at_ = now + context_.settings.handover_interval;
}

bool worker_assignment::must_hand_over(worker_ownership const& worker) const
{
    if (!worker.declared())
        return context_.registration.ready();
    return (context_.registration.leaving() ||
            context_.registration.cut_off()) &&
           !worker.assignee().empty() &&
           worker.assignee() != context_.settings.vm;
}

// A new VM must be a member for a lease before workers are handed to it, and
// workers move one at a time, each with the adapters pinned there.
bool worker_assignment::may_rebalance(worker_ownership const& worker,
                                      time_point now) const
{
    auto const retained = retained_until_.find(worker.id());
    return worker.is_active_owner() && !worker.assignee().empty() &&
           worker.assignee() != context_.settings.vm &&
           worker.assignee_stable(now) && now >= next_handover_at_ &&
           (retained == retained_until_.end() || now >= retained->second) &&
           context_.registration.lease_holds(now);
}

incarnation_id
worker_assignment::handover_target(worker_ownership const& worker) const
{
    member_view const* const target = members_.member(worker.assignee());
    if (!worker.declared() || target == nullptr)
        return {};
    return {target->vm, target->incarnation_number};
}

bool worker_assignment::may_take(time_point now) const
{
    vm_registration const& own = context_.registration;
    // Rows read before this incarnation registered may show too few members.
    return own.lease_holds(now) && read_at_ >= own.registered_at() &&
           !pending_takeover_ && !own.busy() &&
           checks_.takes_new_work({own.leaving(), true});
}

bool worker_assignment::should_take(worker_ownership const& worker,
                                    time_point now) const
{
    bool const was_ours = worker.row() != nullptr &&
                          worker.row()->owner.vm == context_.settings.vm;
    // An owner that an unreadable row no longer names is among the members
    // only if their rows were read after that row.
    return worker.declared() && worker.unowned() && worker.may_write(now) &&
           read_at_ >= worker.unreadable_since() &&
           (was_ours ||
            (worker.assignee() == context_.settings.vm && settled()));
}

void worker_assignment::take_unowned(time_point now, action_list& actions)
{
    if (!may_take(now))
        return;
    std::vector<worker_ownership*> wanted;
    for (worker_id const& id : declared_)
    {
        worker_ownership& worker = find_or_add(id);
        if (wanted.size() < max_workers_per_takeover &&
            should_take(worker, now))
            wanted.push_back(&worker);
    }
    if (!wanted.empty())
        send_takeover(wanted, now, actions);
}

// If this VM was paused and expired after it decided to take a worker, or if
// the known row of the owner is outdated, a VM that is no member would own a
// worker, or a live member would lose one. So the write is also conditional on
// the rows of both VMs: it succeeds only while this VM is a member and the
// owner is not.
void worker_assignment::send_takeover(
    std::vector<worker_ownership*> const& workers, time_point now,
    action_list& actions)
{
    pending_takeover made{context_.ids.next_operation(), {}};
    table_transaction transaction;
    std::set<vm_id> vms{context_.settings.vm};
    for (worker_ownership* const worker : workers)
    {
        worker_row const row = worker->takeover_row();
        table_condition const condition = worker->condition();
        transaction.conditions.push_back(condition);
        transaction.writes.push_back({condition.key, to_text(row)});
        made.written.emplace(worker->id(), row);
        if (worker->assignee() != context_.settings.vm)
            retained_until_[worker->id()] =
                now + duration(retention_after_restart);
        if (worker->row() != nullptr && !worker->row()->owner.vm.empty())
            vms.insert(worker->row()->owner.vm);
    }
    for (vm_id const& vm : vms)
        transaction.conditions.push_back({vm_key(vm), members_.version_of(vm)});
    if (!context_.rules.writes_conditionally())
        transaction.conditions.clear();
    actions.push_back(transact{made.operation, std::move(transaction),
                               now + context_.settings.table_timeout});
    pending_takeover_ = std::move(made);
}

} // namespace mulberry
