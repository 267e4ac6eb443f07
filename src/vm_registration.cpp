#include "vm_registration.hpp"

#include "placement.hpp"

namespace mulberry
{
namespace
{

/// VMs that were on standby register at a time spread over this many heartbeats
/// after their start: with 200 VMs and a heartbeat of two seconds, 20 VMs per
/// second.
constexpr int standby_start_heartbeats = 5;
constexpr duration::rep spread_steps = 1000;
void log_event(action_list& actions, std::string kind, std::string text)
{
    actions.push_back(
        publish_event{"ownership", std::move(kind), std::move(text)});
}

int lease_factor(vm_row const& row)
{
    return row.stands_by ? standby_lease_factor : 1;
}

std::string incarnation_text(incarnation incarnation_number)
{
    return "life " + std::to_string(incarnation_number.value());
}

} // namespace

vm_registration::vm_registration(ownership_settings const& settings,
                                 ownership_rules const& rules,
                                 membership& members, ownership_random& random,
                                 id_source& ids)
    : settings_(settings), rules_(rules), members_(members), random_(random),
      ids_(ids)
{
}

// When 200 VMs start at once after a power failure and the table accepts 200
// writes per second, owners would wait for seconds behind VMs that own no
// workers, be refused and wait again, and no adapter would be loaded meanwhile.
// So a VM that was on standby registers later, at a time derived from its name.
void vm_registration::start(bool rows_known, time_point now,
                            action_list& actions)
{
    phase_ = rows_known ? phase::registering : phase::reading;
    vm_row const* const old = members_.row_of(settings_.vm);
    if (!rows_known)
        return send(call_kind::read, now, actions);
    if (old == nullptr || !old->stands_by)
        return send(call_kind::register_vm, now, actions);
    auto const share = stable_hash(settings_.vm.str()) % spread_steps + 1;
    next_call_at_ = now + settings_.heartbeat * standby_start_heartbeats *
                              static_cast<duration::rep>(share) / spread_steps;
}

void vm_registration::set_ready(time_point now)
{
    if (!ready_ && registered())
        next_call_at_ = now;
    ready_ = true;
}

void vm_registration::set_stands_by(bool stands_by, time_point now)
{
    if (stands_by == stands_by_)
        return;
    stands_by_ = stands_by;
    if (registered())
        next_call_at_ = now;
    // Once the write that ends standby is applied, other VMs apply an owner's
    // shorter lease to this VM. If the reply to the write is lost, this VM must
    // not rely on its longer standby lease and give orders while another VM has
    // taken over. So it has no lease until the reply arrives.
    if (!stands_by_)
        lease_until_ = time_point::min();
}

void vm_registration::set_cut_off(bool cut_off, time_point now)
{
    if (cut_off == cut_off_)
        return;
    cut_off_ = cut_off;
    if (registered())
        next_call_at_ = now;
}

void vm_registration::leave(time_point now)
{
    leaving_ = true;
    next_call_at_ = now;
}

void vm_registration::close(time_point now)
{
    leaving_ = true;
    if (closed() || phase_ == phase::closing)
        return;
    bool const has_row =
        !incarnation_number_.none() && phase_ != phase::superseded;
    phase_ = has_row ? phase::closing : phase::closed;
    next_call_at_ = now;
}

void vm_registration::tick(time_point now, action_list& actions)
{
    if (busy() || now < next_call_at_)
        return;
    stop_if_superseded(actions);
    if (phase_ == phase::closing && members_.row_of(settings_.vm) == nullptr)
        phase_ = phase::closed;
    switch (phase_)
    {
    case phase::reading:
        return send(call_kind::read, now, actions);
    case phase::registering:
        return send(call_kind::register_vm, now, actions);
    case phase::registered:
        return send(call_kind::renew, now, actions);
    case phase::closing:
        return send(call_kind::close, now, actions);
    default:
        return;
    }
}

// If a later process runs under this VM's name, this process stops. If both
// registered again, they would supersede each other forever.
void vm_registration::stop_if_superseded(action_list& actions)
{
    vm_row const* const row = members_.row_of(settings_.vm);
    bool const others =
        row != nullptr && !process_first_incarnation_.none() &&
        row->incarnation_number > incarnation_number_ &&
        row->process_first_incarnation != process_first_incarnation_;
    bool const writes = phase_ == phase::registered ||
                        phase_ == phase::registering ||
                        phase_ == phase::closing;
    if (!others || !writes)
        return;
    bool const closing = phase_ == phase::closing;
    phase_ = closing ? phase::closed : phase::superseded;
    log_event(actions, "vm-superseded", incarnation_text(incarnation_number_));
}

bool vm_registration::knows(operation_id operation) const
{
    return pending_call_ && pending_call_->operation == operation;
}

void vm_registration::send(call_kind kind, time_point now, action_list& actions)
{
    pending_call made{ids_.next_operation(), kind, now, {}};
    std::string const key = vm_key(settings_.vm);
    table_transaction transaction;
    row_version base = members_.version_of(settings_.vm);
    if (kind == call_kind::register_vm && registration_token_.empty())
        registration_asked_at_ = now;
    if (kind != call_kind::read)
    {
        made.written = row_to_write(kind, now);
        transaction.writes.push_back({key, to_text(made.written)});
    }
    if (kind == call_kind::register_vm)
        base = registration_base_;
    // The read is a transaction conditional on the row's absence. Both replies,
    // done and conflict, show the current row, which a lagging read does not.
    if (kind == call_kind::read)
        base = row_version();
    if (rules_.writes_conditionally() || kind == call_kind::read)
        transaction.conditions.push_back({key, base});
    actions.push_back(
        transact{made.operation, transaction, now + settings_.table_timeout});
    pending_call_ = made;
}

void vm_registration::record_version(row_version version, time_point now)
{
    seen_versions_.emplace_back(now, version);
    while (seen_versions_.size() > 1 &&
           seen_versions_[1].first + settings_.order_gap <= now)
        seen_versions_.pop_front();
}

row_version vm_registration::settled_version(time_point now) const
{
    if (seen_versions_.empty() ||
        seen_versions_.front().first + settings_.order_gap > now)
        return inherited_settled_;
    return std::max(inherited_settled_, seen_versions_.front().second);
}

vm_row vm_registration::row_to_write(call_kind kind, time_point now)
{
    if (kind == call_kind::register_vm)
        return registration_row();
    vm_row row = *members_.row_of(settings_.vm);
    row.token = random_.next_token();
    row.ready = ready_;
    row.listed = row.listed || members_.listed(settings_.vm);
    row.renewal_count = ++renewal_count_;
    row.settled_version = settled_version(now);
    row.stands_by = stands_by_;
    row.cut_off = cut_off_;
    row.state = leaving_ ? member_state::leaving : member_state::live;
    if (kind == call_kind::close)
        row.state = member_state::closed;
    return row;
}

// If the reply to a registration is lost or the write is applied late, the VM
// must not register twice or mistake its own row for another process's. The
// identical write is repeated until its outcome is known, so that it is applied
// once and the conflict of a repetition shows the VM its own token.
vm_row vm_registration::registration_row()
{
    if (!registration_token_.empty())
        return registration_row_;
    registration_token_ = random_.next_token();
    registration_base_ = members_.version_of(settings_.vm);
    vm_row const* const old = members_.row_of(settings_.vm);
    // After a restart a VM that was on standby stays on standby, so that the
    // VMs need not decide this again after a power failure.
    if (old != nullptr && process_first_incarnation_.none())
        stands_by_ = old->stands_by;
    // If the row is unreadable, its version serves as the last number. Each
    // number needed a write of the row, so the version is no lower than any of
    // them.
    std::uint64_t const last = old != nullptr ? old->incarnation_number.value()
                                              : registration_base_.value();
    incarnation const next(last + 1);
    vm_row row;
    row.token = registration_token_;
    row.incarnation_number = next;
    row.process_first_incarnation =
        process_first_incarnation_.none() ? next : process_first_incarnation_;
    if (old != nullptr)
        row.ended_below = ended_below(*old, next);
    else
        row.ended_below = registration_base_.none() ? next : incarnation();
    row.address = settings_.address;
    row.domain = settings_.domain;
    row.state = leaving_ ? member_state::leaving : member_state::live;
    row.ready = ready_;
    row.listed = members_.listed(settings_.vm) || (old && old->listed);
    if (old != nullptr)
        inherited_settled_ = std::max(inherited_settled_, old->settled_version);
    row.settled_version = inherited_settled_;
    row.stands_by = stands_by_;
    row.cut_off = cut_off_;
    row.millicores = settings_.millicores;
    registration_row_ = row;
    return row;
}

// By the precondition of ownership_keeper::start() this process already listens
// on settings_.address, so an earlier process that registered the same address
// has ended. What that process had proved about earlier processes still holds.
incarnation vm_registration::ended_below(vm_row const& old,
                                         incarnation next) const
{
    if (!process_first_incarnation_.none())
        return old.ended_below;
    bool const old_ended =
        old.address == settings_.address || old.state == member_state::closed;
    bool const unbroken = old.ended_below == old.process_first_incarnation;
    return old_ended && unbroken ? next : old.ended_below;
}

void vm_registration::on_table(table_reply const& reply, time_point now,
                               action_list& actions)
{
    pending_call const done = *pending_call_;
    pending_call_.reset();
    if (reply.outcome == table_outcome::done)
    {
        store_written(done, reply);
        record_version(members_.version_of(settings_.vm), now);
    }
    if (reply.outcome == table_outcome::conflict)
        store_read(reply);
    switch (done.kind)
    {
    case call_kind::read:
        return on_read(reply, now, actions);
    case call_kind::register_vm:
        return on_registration_reply(done, reply, now, actions);
    case call_kind::renew:
        return on_renewed(done, reply, now, actions);
    case call_kind::close:
        return on_closed(reply, now);
    }
}

void vm_registration::store_written(pending_call const& done,
                                    table_reply const& reply)
{
    if (done.kind == call_kind::read)
        return;
    for (table_row const& row : reply.rows)
        if (row.key == vm_key(settings_.vm))
            members_.store(settings_.vm, row.version, done.written);
}

void vm_registration::store_read(table_reply const& reply)
{
    for (table_row const& row : reply.rows)
        if (row.key == vm_key(settings_.vm) && !row.version.none())
            members_.store(row);
}

void vm_registration::on_read(table_reply const& reply, time_point now,
                              action_list& actions)
{
    if (phase_ != phase::reading)
        return;
    if (reply.outcome == table_outcome::unreachable ||
        reply.outcome == table_outcome::refused)
        return retry_later(now);
    phase_ = phase::registering;
    send(call_kind::register_vm, now, actions);
}

void vm_registration::on_registration_reply(pending_call const& done,
                                            table_reply const& reply,
                                            time_point now,
                                            action_list& actions)
{
    if (phase_ != phase::registering)
        return;
    if (reply.outcome == table_outcome::unreachable ||
        reply.outcome == table_outcome::refused)
        return retry_later(now);
    vm_row const* const row = members_.row_of(settings_.vm);
    bool const ours = row != nullptr && row->token == done.written.token;
    if (ours)
        return become_registered(*row, registration_asked_at_, now, actions);
    // Another process registered first, or another VM wrote the row meanwhile.
    // Register again, based on the current row.
    registration_token_.clear();
    next_call_at_ = now;
    tick(now, actions);
}

void vm_registration::become_registered(vm_row const& row, time_point asked_at,
                                        time_point now, action_list& actions)
{
    phase_ = phase::registered;
    registration_token_.clear();
    incarnation_number_ = row.incarnation_number;
    process_first_incarnation_ = row.process_first_incarnation;
    registered_at_ = now;
    extend_lease(asked_at, row);
    next_call_at_ =
        now + random_.jittered(settings_.heartbeat * lease_factor(row));
    if (needs_rewrite(row))
        next_call_at_ = now;
    log_event(actions, "vm-registered", incarnation_text(incarnation_number_));
}

void vm_registration::on_renewed(pending_call const& done,
                                 table_reply const& reply, time_point now,
                                 action_list& actions)
{
    if (phase_ != phase::registered)
        return;
    switch (reply.outcome)
    {
    case table_outcome::done:
        extend_lease(done.asked_at, done.written);
        if (needs_rewrite(done.written))
            next_call_at_ = now;
        return;
    case table_outcome::conflict:
        // An earlier renewal was applied after it had been considered lost. The
        // lease continues, and the next renewal is based on the current row.
        next_call_at_ = now;
        check_own_row(now, actions);
        return tick(now, actions);
    default:
        return retry_later(now);
    }
}

void vm_registration::extend_lease(time_point asked_at, vm_row const& written)
{
    int const factor = lease_factor(written);
    lease_until_ = asked_at + settings_.lease * factor - settings_.lease_margin;
    next_call_at_ = asked_at + settings_.heartbeat * factor;
}

void vm_registration::on_closed(table_reply const& reply, time_point now)
{
    if (reply.outcome == table_outcome::unreachable ||
        reply.outcome == table_outcome::refused)
        return retry_later(now);
    vm_row const* const row = members_.row_of(settings_.vm);
    next_call_at_ = now;
    if (row == nullptr || row->state == member_state::closed)
        phase_ = phase::closed;
}

void vm_registration::check_own_row(time_point now, action_list& actions)
{
    vm_row const* const row = members_.row_of(settings_.vm);
    bool const unreadable =
        row == nullptr && !members_.version_of(settings_.vm).none();
    if (phase_ != phase::registered || (row == nullptr && !unreadable))
        return;
    stop_if_superseded(actions);
    if (phase_ != phase::registered)
        return;
    if (!unreadable && row->incarnation_number == incarnation_number_ &&
        is_member(row->state))
        return;
    log_event(actions, "vm-expired", incarnation_text(incarnation_number_));
    phase_ = leaving_ ? phase::expired : phase::registering;
    next_call_at_ = now;
}

bool vm_registration::needs_rewrite(vm_row const& written) const
{
    return written.ready != ready_ || written.stands_by != stands_by_ ||
           written.cut_off != cut_off_ ||
           leaving_ != (written.state == member_state::leaving);
}

bool vm_registration::lease_holds(time_point now) const
{
    return registered() && rules_.own_lease_valid(lease_until_, now);
}

void vm_registration::retry_later(time_point now)
{
    bool const use_first_retry = phase_ == phase::registering && !stands_by_ &&
                                 settings_.first_retry > duration(0);
    next_call_at_ =
        now + random_.jittered(use_first_retry ? settings_.first_retry
                                               : settings_.heartbeat / 2);
}

} // namespace mulberry
