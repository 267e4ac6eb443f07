/// Expires the VMs whose lease lapsed, so that their workers can be taken.
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

/// Thread safety: none. The references outlive this object.
class lapsed_members
{
public:
    lapsed_members(ownership_settings const& settings,
                   ownership_rules const& rules, membership& members,
                   vm_registration const& registration,
                   ownership_random& random, id_source& ids);

    /// The rows of all VMs were read.
    void on_scan(time_point now);
    void tick(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply);
    /// Whether the VM's row has stood still for a lease, as far as reads tell.
    /// Unlike the judgement that its lease lapsed it does not rest on this VM's
    /// own lease: enough to take a place beside it, not to take what it has.
    bool appears_lapsed(vm_id const& vm, time_point now) const;

private:
    struct pending_expiry
    {
        vm_id vm;
        vm_row written;
    };

    bool lapsed(vm_id const& vm, time_point now) const;
    bool should_expire(vm_id const& vm, time_point now) const;
    /// How long this VM waits for those that come before it.
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
    /// When a VM's end may be written again that could not be.
    std::map<vm_id, time_point> next_attempt_at_;
};

} // namespace mulberry

#endif
