#include "lapsed_members.hpp"

#include "placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberry
{

lapsed_members::lapsed_members(ownership_settings const& settings,
                               ownership_rules const& rules,
                               membership& members,
                               vm_registration const& registration,
                               ownership_random& random, id_source& ids)
    : settings_(settings), rules_(rules), members_(members),
      registration_(registration), random_(random), ids_(ids),
      expiry_watch_(settings.lease), unconditional_watch_(settings.lease)
{
}

// While the table answers reads but refuses writes, every VM sees the other
// VMs' rows unchanged and would expire those VMs when writes succeed again. A
// VM that cannot renew its own lease therefore observes no other leases.
void lapsed_members::on_scan(time_point now)
{
    if (registration_.lease_holds(now) && !registration_.stands_by())
        expiry_watch_.on_scan(members_.member_versions(), now);
    unconditional_watch_.on_scan(members_.member_versions(), now);
}

bool lapsed_members::appears_lapsed(vm_id const& vm, time_point now) const
{
    auto const lapses_at =
        unconditional_watch_.lapses_at(vm, members_.version_of(vm));
    return lapses_at && now >= *lapses_at;
}

void lapsed_members::tick(time_point now, action_list& actions)
{
    if (!registration_.lease_holds(now) || registration_.stands_by() ||
        !expiry_watch_.is_current(now) || registration_.busy())
        return;
    std::vector<vm_id> to_expire;
    for (auto const& [vm, view] : members_.members())
        if (should_expire(vm, now))
            to_expire.push_back(vm);
    for (vm_id const& vm : to_expire)
        expire(vm, now, actions);
}

bool lapsed_members::should_expire(vm_id const& vm, time_point now) const
{
    auto const next_attempt = next_attempt_at_.find(vm);
    if (next_attempt != next_attempt_at_.end() && now < next_attempt->second)
        return false;
    return vm != settings_.vm && lapsed(vm, now) && !expiry_pending(vm) &&
           lapsed(vm, now - expiry_delay(vm, now));
}

bool lapsed_members::lapsed(vm_id const& vm, time_point now) const
{
    auto const lapses_at = expiry_watch_.lapses_at(vm, members_.version_of(vm));
    member_view const* const member = members_.member(vm);
    if (!lapses_at || member == nullptr)
        return false;
    int const extra_leases = member->stands_by ? standby_lease_factor - 1 : 0;
    return rules_.lapsed(*lapses_at + settings_.lease * extra_leases, now);
}

bool lapsed_members::expiry_pending(vm_id const& vm) const
{
    return std::any_of(pending_expiries_.begin(), pending_expiries_.end(),
                       [&vm](auto const& each)
                       { return each.second.vm == vm; });
}

// If all VMs expired a VM at once, hundreds of conflicting writes would exceed
// the table's rate limit, and heartbeats would be refused too. So the VMs take
// turns by rendezvous hashing, one heartbeat apart. VMs that lapsed themselves
// or are on standby are not counted.
duration lapsed_members::expiry_delay(vm_id const& vm, time_point now) const
{
    auto const score = [&vm](vm_id const& by)
    { return stable_hash(vm.str() + "/" + by.str()); };
    std::uint64_t const own = score(settings_.vm);
    duration::rep rank = 0;
    for (auto const& [other, view] : members_.members())
        if (other != settings_.vm && !view.stands_by && score(other) > own &&
            !lapsed(other, now))
            ++rank;
    return rank * settings_.heartbeat;
}

// When the table refuses writes immediately, a retry at every tick would use up
// the request rate that heartbeats need, so the write is retried after a
// heartbeat.
//
// The write is conditional on both rows: it succeeds only if the other VM did
// not renew its lease and this VM is still a member.
void lapsed_members::expire(vm_id const& vm, time_point now,
                            action_list& actions)
{
    vm_row row = *members_.row_of(vm);
    row.state = member_state::expired;
    row.token = random_.next_token();
    operation_id const operation = ids_.next_operation();
    table_transaction transaction;
    if (rules_.writes_conditionally())
        for (vm_id const& each : {vm, settings_.vm})
            transaction.conditions.push_back(
                {vm_key(each), members_.version_of(each)});
    transaction.writes.push_back({vm_key(vm), to_text(row)});
    actions.push_back(transact{operation, std::move(transaction),
                               now + settings_.table_timeout});
    actions.push_back(publish_event{"ownership", "lease-lapsed", vm.str()});
    pending_expiries_.emplace(operation, pending_expiry{vm, row});
    std::erase_if(next_attempt_at_,
                  [now](auto const& each) { return each.second <= now; });
    next_attempt_at_[vm] = now + settings_.heartbeat;
}

bool lapsed_members::knows(operation_id operation) const
{
    return pending_expiries_.count(operation) > 0;
}

// A write without a known outcome needs no handling: the next scan shows the
// row.
void lapsed_members::on_table(table_reply const& reply)
{
    pending_expiry const done =
        pending_expiries_.extract(reply.operation).mapped();
    for (table_row const& row : reply.rows)
    {
        if (reply.outcome == table_outcome::conflict && !row.version.none())
            members_.store(row);
        if (reply.outcome == table_outcome::done && row.key == vm_key(done.vm))
            members_.store(done.vm, row.version, done.written);
    }
}

} // namespace mulberry
