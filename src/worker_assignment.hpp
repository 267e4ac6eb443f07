/// Determines which workers this VM should own, and takes and hands over
/// workers accordingly.
#ifndef MULBERRY_WORKER_ASSIGNMENT_HPP
#define MULBERRY_WORKER_ASSIGNMENT_HPP

#include "owner_choice.hpp"
#include "safeguards.hpp"
#include "worker_ownership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberry
{

class lapsed_members;

/// Assigns each declared worker to a member; all VMs compute the same
/// assignment from the same rows. Thread safety: none. The objects that the
/// parameters refer to outlive this object.
class worker_assignment
{
public:
    worker_assignment(ownership_context const& context, membership& members,
                      safeguards const& checks);

    /// Sets the workers of the current configuration.
    void set_workers(std::vector<worker_id> workers);
    /// Sets the failure domains of workers. A worker whose domain has a VM is
    /// assigned to a VM of that domain, so that the owner's traffic to the
    /// worker stays within the domain.
    void set_domains(std::map<worker_id, domain_id> domains);
    /// Sets the incarnations of workers, as the registry lists them.
    void set_incarnations(std::map<worker_id, worker_start> const& started);
    /// Stores a row that was read, if it is newer than the known one. Returns
    /// false when the text cannot be parsed; the worker then counts as unowned.
    /// Precondition: the key has worker_prefix.
    bool store(table_row const& row, time_point now);
    /// The input of standby_decision, computed from the known rows.
    owner_situation standby_situation(lapsed_members const& lapsed,
                                      time_point now) const;
    /// Whether this VM is one of the chosen owners.
    bool assigned() const;
    /// Sets the moment from which all known rows date, or later.
    void set_read_at(time_point asked_at) { read_at_ = asked_at; }
    /// Updates assignment and ownership from the known rows, and starts
    /// handovers and takeovers that are due.
    void reconcile(time_point now, action_list& actions);

    /// Whether this object or one of its workers started the operation.
    bool knows(operation_id operation) const;
    /// Handles a reply; replies to unknown operations are ignored.
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// The worker; adds it if it is unknown.
    worker_ownership& find_or_add(worker_id const& worker);
    /// Null when the worker is unknown.
    worker_ownership const* find(worker_id const& worker) const;
    /// Whether an owner or fencing number changed since the last call.
    bool take_changed();

private:
    struct pending_takeover
    {
        operation_id operation;
        std::map<worker_id, worker_row> written;
    };

    void update_assignment(time_point now);
    std::map<worker_id, vm_id> assign(std::vector<vm_id> const& vms) const;
    std::size_t workers_in(domain_id const& domain) const;
    std::vector<vm_id> owners_among(std::vector<vm_id> const& vms) const;
    bool owns_any() const;
    bool settled() const;
    void update_handover(worker_ownership& worker, time_point now);
    bool must_hand_over(worker_ownership const& worker) const;
    bool may_rebalance(worker_ownership const& worker, time_point now) const;
    incarnation_id handover_target(worker_ownership const& worker) const;

    bool may_take(time_point now) const;
    bool should_take(worker_ownership const& worker, time_point now) const;
    void take_unowned(time_point now, action_list& actions);
    void send_takeover(std::vector<worker_ownership*> const& workers,
                       time_point now, action_list& actions);
    void on_takeover_reply(table_reply const& reply, time_point now);
    void store_conflict(table_row const& row, time_point now);

    ownership_context context_;
    membership& members_;
    safeguards const& checks_;
    std::map<worker_id, worker_ownership> workers_;
    std::vector<worker_id> declared_;
    std::map<worker_id, domain_id> domains_;
    /// The owners chosen when the assignment was computed.
    std::vector<vm_id> assigned_to_;
    /// The generation of the members for which the assignment was computed; 0
    /// when the assignment is outdated.
    std::uint64_t assigned_generation_ = 0;
    std::optional<pending_takeover> pending_takeover_;
    time_point read_at_ = time_point::min();
    time_point next_handover_at_ = time_point::min();
    /// Of workers that were taken although they are assigned to another VM.
    std::map<worker_id, time_point> retained_until_;
    bool changed_ = false;
};

} // namespace mulberry

#endif
