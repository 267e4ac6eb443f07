#include "ownership_keeper.hpp"

#include "lapsed_members.hpp"
#include "membership.hpp"
#include "vm_registration.hpp"
#include "worker_assignment.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace mulberry
{
namespace
{

bool table_answered(table_outcome outcome)
{
    return outcome == table_outcome::done || outcome == table_outcome::conflict;
}

} // namespace

class ownership_keeper::implementation
{
public:
    implementation(ownership_settings settings, safeguards const& checks,
                   id_source& ids, ownership_rules const& rules)
        : settings_(std::move(settings)), ids_(ids),
          random_(settings_.vm.str(), settings_.seed),
          members_(settings_.delisted_after, rules),
          registration_(settings_, rules, members_, random_, ids),
          lapsed_(settings_, rules, members_, registration_, random_, ids),
          workers_({settings_, rules, members_, registration_, random_, ids,
                    events_},
                   members_, checks),
          standby_(settings_.heartbeat)
    {
    }

    void set_initial_rows(std::vector<table_row> const& rows,
                          action_list& actions)
    {
        store_rows(rows, time_point::min(), actions);
        has_initial_rows_ = true;
    }

    bool assigned() const
    {
        return !registration_.stands_by() && workers_.assigned();
    }

    void start(time_point now, action_list& actions)
    {
        next_scan_at_ = has_initial_rows_ ? now + settings_.heartbeat : now;
        registration_.start(has_initial_rows_, now, actions);
        started_ = true;
    }

    void set_workers(std::vector<worker_id> workers, time_point now,
                     action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_vm_list(std::vector<listed_vm> const& vms, time_point now,
                    action_list& actions);
    void request_intent(record_intent const& intent, time_point now,
                        action_list& actions);
    void forget_intent(mulberry::forget_intent const& intent, time_point now,
                       action_list& actions);
    void set_incarnations(std::map<worker_id, worker_start> const& started)
    {
        workers_.set_incarnations(started);
    }
    void set_domains(std::map<worker_id, domain_id> domains)
    {
        workers_.set_domains(std::move(domains));
    }
    void released(worker_id const& worker, time_point now,
                  action_list& actions);
    void set_cut_off(bool cut_off, time_point now, action_list& actions);
    void leave(time_point now, action_list& actions);
    void close(time_point now, action_list& actions);
    void tick(time_point now, action_list& actions);
    std::vector<ownership_event> take_events();

    vm_registration const& registration() const { return registration_; }
    membership const& members() const { return members_; }
    time_point last_table_contact() const { return table_heard_at_; }
    vm_id owner_of(worker_id const& worker) const;
    vm_id recorded_owner_of(worker_id const& worker) const;
    fencing_number fence_of(worker_id const& worker) const;
    row_version version_of(worker_id const& worker) const
    {
        worker_ownership const* const known = workers_.find(worker);
        return known == nullptr ? row_version() : known->version();
    }

private:
    /// State of the periodic scan of one key prefix; one scan at a time.
    struct scan
    {
        std::string prefix;
        operation_id operation;
        time_point asked_at{};
        bool in_progress = false;
        /// The moment from which the rows of the last successful scan date.
        time_point read_at = time_point::min();
    };

    void start_scans(time_point now, action_list& actions);
    void start_scan(scan& which, time_point now, action_list& actions);
    bool is_scan(scan const& which, operation_id operation) const;
    void on_scan(scan& which, table_reply const& reply, time_point now,
                 action_list& actions);
    void store_rows(std::vector<table_row> const& rows, time_point now,
                    action_list& actions);
    void report_unreadable_row(table_row const& row, action_list& actions);
    void on_registration(table_reply const& reply, time_point now,
                         action_list& actions);
    void reconcile(time_point now, action_list& actions);
    void update_standby(time_point now, action_list& actions);

    ownership_settings const settings_;
    id_source& ids_;
    ownership_random random_;
    std::vector<ownership_event> events_;
    membership members_;
    vm_registration registration_;
    lapsed_members lapsed_;
    worker_assignment workers_;
    standby_decision standby_;

    bool started_ = false;
    /// set_initial_rows() was called.
    bool has_initial_rows_ = false;
    time_point table_heard_at_ = time_point::min();
    time_point next_scan_at_ = never;
    scan vm_scan_{vm_prefix, {}, {}};
    scan worker_scan_{worker_prefix, {}, {}};
    std::map<std::string, row_version> unreadable_rows_;
};

void ownership_keeper::implementation::set_workers(
    std::vector<worker_id> workers, time_point now, action_list& actions)
{
    workers_.set_workers(std::move(workers));
    registration_.set_ready(now);
    reconcile(now, actions);
}

bool ownership_keeper::implementation::is_scan(scan const& which,
                                               operation_id operation) const
{
    return which.in_progress && which.operation == operation;
}

bool ownership_keeper::implementation::knows(operation_id operation) const
{
    return registration_.knows(operation) || is_scan(vm_scan_, operation) ||
           is_scan(worker_scan_, operation) || lapsed_.knows(operation) ||
           workers_.knows(operation);
}

void ownership_keeper::implementation::on_table(table_reply const& reply,
                                                time_point now,
                                                action_list& actions)
{
    operation_id const operation = reply.operation;
    if (registration_.knows(operation))
        on_registration(reply, now, actions);
    else if (is_scan(vm_scan_, operation))
        on_scan(vm_scan_, reply, now, actions);
    else if (is_scan(worker_scan_, operation))
        on_scan(worker_scan_, reply, now, actions);
    else if (lapsed_.knows(operation))
        lapsed_.on_table(reply);
    else
        workers_.on_table(reply, now, actions);
    reconcile(now, actions);
}

void ownership_keeper::implementation::on_registration(table_reply const& reply,
                                                       time_point now,
                                                       action_list& actions)
{
    time_point const asked_at = registration_.asked_at();
    bool const was_registered = registration_.registered();
    registration_.on_table(reply, now, actions);
    // No worker is taken before rows were read in this incarnation. Reading
    // them a heartbeat later would leave the workers without an owner
    // meanwhile.
    if (registration_.registered() && !was_registered)
        next_scan_at_ = now;
    if (table_answered(reply.outcome))
        table_heard_at_ = std::max(table_heard_at_, asked_at);
}

void ownership_keeper::implementation::start_scans(time_point now,
                                                   action_list& actions)
{
    if (!started_ || registration_.closed() || now < next_scan_at_)
        return;
    if (vm_scan_.in_progress || worker_scan_.in_progress)
        return;
    next_scan_at_ = now + settings_.heartbeat;
    start_scan(vm_scan_, now, actions);
    start_scan(worker_scan_, now, actions);
}

void ownership_keeper::implementation::start_scan(scan& which, time_point now,
                                                  action_list& actions)
{
    which.operation = ids_.next_operation();
    which.asked_at = now;
    which.in_progress = true;
    actions.push_back(scan_rows{which.operation, which.prefix,
                                now + settings_.table_timeout});
}

void ownership_keeper::implementation::on_scan(scan& which,
                                               table_reply const& reply,
                                               time_point now,
                                               action_list& actions)
{
    which.in_progress = false;
    if (reply.outcome != table_outcome::done)
    {
        // VMs that start while the table is unavailable have to read rows in
        // this incarnation before their workers have an owner. If a scan fails
        // as the table returns, waiting for a heartbeat would prolong the time
        // without owners.
        bool const use_first_retry =
            settings_.first_retry > duration(0) &&
            (!registration_.registered() ||
             which.read_at < registration_.registered_at());
        next_scan_at_ =
            now + random_.jittered(use_first_retry ? settings_.first_retry
                                                   : settings_.heartbeat);
        return;
    }
    which.read_at = std::min(which.asked_at, reply.as_of);
    table_heard_at_ = std::max(table_heard_at_, which.read_at);
    store_rows(reply.rows, now, actions);
    workers_.set_read_at(std::min(vm_scan_.read_at, worker_scan_.read_at));
    if (&which == &vm_scan_)
        lapsed_.on_scan(now);
}

void ownership_keeper::implementation::store_rows(
    std::vector<table_row> const& rows, time_point now, action_list& actions)
{
    for (table_row const& row : rows)
    {
        if (row.version.none())
            continue;
        bool const readable = row.key.starts_with(vm_prefix)
                                  ? members_.store(row)
                                  : workers_.store(row, now);
        if (!readable)
            report_unreadable_row(row, actions);
    }
}

void ownership_keeper::implementation::report_unreadable_row(
    table_row const& row, action_list& actions)
{
    if (std::exchange(unreadable_rows_[row.key], row.version) != row.version)
        actions.push_back(publish_event{"ownership", "bad-row", row.key});
}

void ownership_keeper::implementation::on_vm_list(
    std::vector<listed_vm> const& vms, time_point now, action_list& actions)
{
    members_.on_platform_list(vms, now);
    reconcile(now, actions);
}

void ownership_keeper::implementation::request_intent(
    record_intent const& intent, time_point now, action_list& actions)
{
    worker_ownership& worker = workers_.find_or_add(intent.worker);
    worker.request_intent(intent.order, intent.name, actions);
    worker.tick(now, actions);
}

void ownership_keeper::implementation::forget_intent(
    mulberry::forget_intent const& intent, time_point now, action_list& actions)
{
    worker_ownership& worker = workers_.find_or_add(intent.worker);
    worker.forget_intent(intent.name, now);
    worker.tick(now, actions);
}

void ownership_keeper::implementation::released(worker_id const& worker,
                                                time_point now,
                                                action_list& actions)
{
    worker_ownership& lost = workers_.find_or_add(worker);
    lost.remove_self_from_suspects();
    lost.tick(now, actions);
}

void ownership_keeper::implementation::leave(time_point now,
                                             action_list& actions)
{
    if (registration_.leaving())
        return;
    actions.push_back(
        publish_event{"ownership", "vm-leaving", settings_.vm.str()});
    registration_.leave(now);
    reconcile(now, actions);
}

void ownership_keeper::implementation::set_cut_off(bool cut_off, time_point now,
                                                   action_list& actions)
{
    registration_.set_cut_off(cut_off, now);
    reconcile(now, actions);
}

void ownership_keeper::implementation::close(time_point now,
                                             action_list& actions)
{
    registration_.close(now);
    reconcile(now, actions);
}

void ownership_keeper::implementation::tick(time_point now,
                                            action_list& actions)
{
    reconcile(now, actions);
    start_scans(now, actions);
}

// Derives all actions from the current state in one place, so that the result
// does not depend on the order of replies.
void ownership_keeper::implementation::reconcile(time_point now,
                                                 action_list& actions)
{
    if (!started_)
        return;
    registration_.check_own_row(now, actions);
    update_standby(now, actions);
    registration_.tick(now, actions);
    workers_.reconcile(now, actions);
    lapsed_.tick(now, actions);
}

void ownership_keeper::implementation::update_standby(time_point now,
                                                      action_list& actions)
{
    // A VM that is cut off cannot replace an owner.
    if (!registration_.registered() ||
        (registration_.cut_off() && registration_.stands_by()))
        return;
    bool const stands_by =
        standby_.decide(registration_.stands_by(),
                        workers_.standby_situation(lapsed_, now), now);
    if (stands_by == registration_.stands_by())
        return;
    actions.push_back(publish_event{
        "ownership", stands_by ? "vm-stands-by" : "vm-owns-workers",
        settings_.vm.str()});
    registration_.set_stands_by(stands_by, now);
}

std::vector<ownership_event> ownership_keeper::implementation::take_events()
{
    bool const members_changed = members_.take_changed();
    bool const owners_changed = workers_.take_changed();
    if (members_changed || owners_changed)
        events_.emplace_back(membership_changed{});
    return std::exchange(events_, {});
}

vm_id ownership_keeper::implementation::recorded_owner_of(
    worker_id const& worker) const
{
    worker_ownership const* const known = workers_.find(worker);
    return known == nullptr || known->row() == nullptr ? vm_id()
                                                       : known->row()->owner.vm;
}

vm_id ownership_keeper::implementation::owner_of(worker_id const& worker) const
{
    worker_ownership const* const known = workers_.find(worker);
    if (known == nullptr || known->row() == nullptr ||
        !members_.is_current_member(known->row()->owner))
        return {};
    return known->row()->owner.vm;
}

fencing_number
ownership_keeper::implementation::fence_of(worker_id const& worker) const
{
    worker_ownership const* const known = workers_.find(worker);
    if (known == nullptr || known->row() == nullptr)
        return {};
    return known->row()->fence;
}

ownership_keeper::ownership_keeper(ownership_settings settings,
                                   safeguards const& checks, id_source& ids,
                                   ownership_rules const& rules)
    : implementation_(std::make_unique<implementation>(std::move(settings),
                                                       checks, ids, rules))
{
}

ownership_keeper::~ownership_keeper() = default;

void ownership_keeper::set_initial_rows(std::vector<table_row> const& rows,
                                        action_list& actions)
{
    implementation_->set_initial_rows(rows, actions);
}

void ownership_keeper::start(time_point now, action_list& actions)
{
    implementation_->start(now, actions);
}

void ownership_keeper::set_workers(std::vector<worker_id> workers,
                                   time_point now, action_list& actions)
{
    implementation_->set_workers(std::move(workers), now, actions);
}

void ownership_keeper::set_incarnations(
    std::map<worker_id, worker_start> const& started)
{
    implementation_->set_incarnations(started);
}

void ownership_keeper::set_domains(std::map<worker_id, domain_id> domains)
{
    implementation_->set_domains(std::move(domains));
}

bool ownership_keeper::knows(operation_id operation) const
{
    return implementation_->knows(operation);
}

void ownership_keeper::on_table(table_reply const& reply, time_point now,
                                action_list& actions)
{
    implementation_->on_table(reply, now, actions);
}

void ownership_keeper::on_vm_list(std::vector<listed_vm> const& vms,
                                  time_point now, action_list& actions)
{
    implementation_->on_vm_list(vms, now, actions);
}

void ownership_keeper::request_intent(record_intent const& intent,
                                      time_point now, action_list& actions)
{
    implementation_->request_intent(intent, now, actions);
}

void ownership_keeper::forget_intent(mulberry::forget_intent const& intent,
                                     time_point now, action_list& actions)
{
    implementation_->forget_intent(intent, now, actions);
}

void ownership_keeper::released(worker_id const& worker, time_point now,
                                action_list& actions)
{
    implementation_->released(worker, now, actions);
}

void ownership_keeper::set_cut_off(bool cut_off, time_point now,
                                   action_list& actions)
{
    implementation_->set_cut_off(cut_off, now, actions);
}

void ownership_keeper::leave(time_point now, action_list& actions)
{
    implementation_->leave(now, actions);
}

void ownership_keeper::close(time_point now, action_list& actions)
{
    implementation_->close(now, actions);
}

bool ownership_keeper::closed() const
{
    return implementation_->registration().closed();
}

void ownership_keeper::tick(time_point now, action_list& actions)
{
    implementation_->tick(now, actions);
}

std::vector<ownership_event> ownership_keeper::take_events()
{
    return implementation_->take_events();
}

incarnation ownership_keeper::incarnation_number() const
{
    return implementation_->registration().incarnation_number();
}

bool ownership_keeper::registered() const
{
    return implementation_->registration().registered();
}

bool ownership_keeper::leaving() const
{
    return implementation_->registration().leaving();
}

bool ownership_keeper::assigned() const
{
    return implementation_->assigned();
}

bool ownership_keeper::stands_by() const
{
    return implementation_->registration().stands_by();
}

bool ownership_keeper::lease_holds(time_point now) const
{
    return implementation_->registration().lease_holds(now);
}

time_point ownership_keeper::last_table_contact() const
{
    return implementation_->last_table_contact();
}

std::vector<member_view> ownership_keeper::members() const
{
    std::vector<member_view> views;
    for (auto const& [vm, view] : implementation_->members().members())
        views.push_back(view);
    return views;
}

member_view const* ownership_keeper::member(vm_id const& vm) const
{
    return implementation_->members().member(vm);
}

vm_id ownership_keeper::recorded_owner_of(worker_id const& worker) const
{
    return implementation_->recorded_owner_of(worker);
}

row_version ownership_keeper::version_of(worker_id const& worker) const
{
    return implementation_->version_of(worker);
}

row_version ownership_keeper::settled_version(time_point now) const
{
    return implementation_->registration().settled_version(now);
}

vm_id ownership_keeper::owner_of(worker_id const& worker) const
{
    return implementation_->owner_of(worker);
}

fencing_number ownership_keeper::fence_of(worker_id const& worker) const
{
    return implementation_->fence_of(worker);
}

std::string ownership_keeper::address_of(vm_id const& vm) const
{
    vm_row const* const row = implementation_->members().row_of(vm);
    return row == nullptr ? std::string() : row->address;
}

std::vector<std::pair<vm_id, incarnation>>
ownership_keeper::possibly_alive() const
{
    std::vector<std::pair<vm_id, incarnation>> result;
    for (incarnation_id const& one :
         implementation_->members().possibly_running())
        result.emplace_back(one.vm, one.incarnation_number);
    return result;
}

bool ownership_keeper::has_stopped(vm_id const& vm,
                                   incarnation incarnation_number) const
{
    return implementation_->members().has_stopped({vm, incarnation_number});
}

} // namespace mulberry
