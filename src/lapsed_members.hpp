/// Expires VMs whose lease lapsed, so that other VMs can take their workers.
#ifndef MULBERRY_LAPSED_MEMBERS_HPP
#define MULBERRY_LAPSED_MEMBERS_HPP

#include "action.hpp"
#include "lease_watch.hpp"
#include "membership.hpp"
#include "ownership_keeper.hpp"
#include "ownership_random.hpp"
#include "ownership_rules.hpp"
#include "vm_registration.hpp"
#include "vm_row.hpp"

#include <map>

namespace mulberry
{

/// Writes the state `expired` into the rows of such VMs.
/// Thread safety: none. The references outlive this object.
class lapsed_members
{
public:
    lapsed_members(ownership_settings const& settings,
                   ownership_rules const& rules, membership& members,
                   vm_registration const& registration,
                   ownership_random& random, id_source& ids);

    /// Call after the rows of all VMs were read and stored in `members`.
    void on_scan(time_point now);
    /// Sends the writes that are due.
    void tick(time_point now, action_list& actions);
    /// Whether the operation is one of this object's writes.
    bool knows(operation_id operation) const;
    /// Precondition: knows(reply.operation).
    void on_table(table_reply const& reply);
    /// Whether reads showed the VM's row unchanged for a lease. Unlike the
    /// decision to expire the VM, the result does not depend on this VM's own
    /// lease. It justifies becoming an owner in addition to the VM, but not
    /// taking the VM's workers.
    bool appears_lapsed(vm_id const& vm, time_point now) const;

private:
    struct pending_expiry
    {
        vm_id vm;
        vm_row written;
    };

    bool lapsed(vm_id const& vm, time_point now) const;
    bool should_expire(vm_id const& vm, time_point now) const;
    /// How long this VM waits for other VMs to expire `vm` first.
    duration expiry_delay(vm_id const& vm, time_point now) const;
    bool expiry_pending(vm_id const& vm) const;
    void expire(vm_id const& vm, time_point now, action_list& actions);

    ownership_settings const& settings_;
    ownership_rules const& rules_;
    membership& members_;
    vm_registration const& registration_;
    ownership_random& random_;
    id_source& ids_;
    lease_watch expiry_watch_;
    lease_watch unconditional_watch_;
    std::map<operation_id, pending_expiry> pending_expiries_;
    /// The earliest time of the next attempt to expire a VM.
    std::map<vm_id, time_point> next_attempt_at_;
};

} // namespace mulberry

#endif
