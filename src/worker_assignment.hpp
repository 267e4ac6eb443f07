/// Which workers this VM should own, and the taking and handing over that
/// follow from it.
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

/// Thread safety: none. What the references lead to outlives this object.
class worker_assignment
{
public:
    worker_assignment(ownership_context const& context, membership& members,
                      safeguards const& checks);

    void set_workers(std::vector<worker_id> workers);
    /// The failure domains of workers. One whose domain has a VM is given to a
    /// VM there, so that what its owner sends it stays within the domain.
    void set_domains(std::map<worker_id, domain_id> domains);
    /// Takes a row that was read, if it is newer. False when it is no
    /// worker's row.
    bool store(table_row const& row);
    /// What follows from the rows known for whether this VM should own workers.
    owner_situation standby_situation(lapsed_members const& lapsed,
                                      time_point now) const;
    /// Whether this VM is one of those that own workers.
    bool assigned() const;
    /// The moment by which the rows known were all read.
    void set_read_at(time_point asked_at) { read_at_ = asked_at; }
    /// Everything that follows from the rows known now.
    void reconcile(time_point now, action_list& actions);

    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// The worker, known from now on.
    worker_ownership& find_or_add(worker_id const& worker);
    /// Null when nothing is known of it.
    worker_ownership const* find(worker_id const& worker) const;
    /// Whether an owner changed since the last call.
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
    void store_conflict(table_row const& row);

    ownership_context context_;
    membership& members_;
    safeguards const& checks_;
    std::map<worker_id, worker_ownership> workers_;
    std::vector<worker_id> declared_;
    std::map<worker_id, domain_id> domains_;
    /// The VMs that the assignment was computed for.
    std::vector<vm_id> assigned_to_;
    /// Of the members that it was computed for; 0 once it is out of date.
    std::uint64_t assigned_generation_ = 0;
    std::optional<pending_takeover> pending_takeover_;
    time_point read_at_ = time_point::min();
    time_point next_handover_at_ = time_point::min();
    bool changed_ = false;
};

} // namespace mulberry

#endif
