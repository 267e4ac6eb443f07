/// Writes this VM's own row: registration, lease renewal, leaving and closing.
#ifndef MULBERRY_VM_REGISTRATION_HPP
#define MULBERRY_VM_REGISTRATION_HPP

#include "action.hpp"
#include "membership.hpp"
#include "ownership_keeper.hpp"
#include "ownership_random.hpp"
#include "ownership_rules.hpp"
#include "vm_row.hpp"

#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace mulberry
{

/// Sends one table operation at a time, so that the VM's writes stay in order.
/// Thread safety: none. The references outlive this object.
class vm_registration
{
public:
    vm_registration(ownership_settings const& settings,
                    ownership_rules const& rules, membership& members,
                    ownership_random& random, id_source& ids);

    /// Reads the row and registers an incarnation with a higher number. With
    /// `rows_known`, meaning that all rows were read just before, registers
    /// without reading; after a delay if the previous incarnation was on
    /// standby.
    void start(bool rows_known, time_point now, action_list& actions);
    /// Call when the workers of the configuration are known, so that this VM
    /// can take workers. Writes this into the row.
    void set_ready(time_point now);
    /// Puts this VM on standby or makes it an owner, and writes this into the
    /// row. Precondition: the VM owns no workers if it goes on standby.
    void set_stands_by(bool stands_by, time_point now);
    void set_cut_off(bool cut_off, time_point now);
    /// Writes the state `leaving` with the next renewal, at the next tick.
    void leave(time_point now);
    /// Writes the state `closed`, at the next tick.
    void close(time_point now);
    /// Sends the next operation if it is due.
    void tick(time_point now, action_list& actions);

    /// Whether the operation is the one in progress.
    bool knows(operation_id operation) const;
    /// Precondition: knows(reply.operation).
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// Checks whether the known row shows that this VM expired or that another
    /// process registered under this VM's name. Call after rows were read.
    void check_own_row(time_point now, action_list& actions);

    /// Whether an operation on the own row is in progress, so that the row's
    /// version may be about to change.
    bool busy() const { return pending_call_.has_value(); }
    /// When the operation in progress was sent. Precondition: busy().
    time_point asked_at() const { return pending_call_->asked_at; }
    bool registered() const { return phase_ == phase::registered; }
    bool ready() const { return ready_; }
    bool leaving() const { return leaving_; }
    bool stands_by() const { return stands_by_; }
    bool cut_off() const { return cut_off_; }
    bool closed() const { return phase_ == phase::closed; }
    incarnation incarnation_number() const { return incarnation_number_; }
    /// The first incarnation number of this process; none before it
    /// registered.
    incarnation process_first_incarnation() const
    {
        return process_first_incarnation_;
    }
    /// When the current incarnation was registered.
    time_point registered_at() const { return registered_at_; }
    /// Whether this VM may rely on its lease.
    bool lease_holds(time_point now) const;
    /// See ownership_keeper::settled_version().
    row_version settled_version(time_point now) const;

private:
    enum class phase
    {
        idle,
        reading,
        registering,
        registered,
        /// Expired while leaving; a new incarnation would serve no purpose.
        expired,
        /// Another process registered under this VM's name.
        superseded,
        closing,
        closed
    };
    enum class call_kind
    {
        read,
        register_vm,
        renew,
        close
    };
    struct pending_call
    {
        operation_id operation;
        call_kind kind;
        time_point asked_at{};
        vm_row written;
    };

    void send(call_kind kind, time_point now, action_list& actions);
    vm_row row_to_write(call_kind kind, time_point now);
    vm_row registration_row();
    void record_version(row_version version, time_point now);
    incarnation ended_below(vm_row const& old, incarnation next) const;
    void on_read(table_reply const& reply, time_point now,
                 action_list& actions);
    void on_registration_reply(pending_call const& done,
                               table_reply const& reply, time_point now,
                               action_list& actions);
    void on_renewed(pending_call const& done, table_reply const& reply,
                    time_point now, action_list& actions);
    void on_closed(table_reply const& reply, time_point now);
    void stop_if_superseded(action_list& actions);
    bool needs_rewrite(vm_row const& written) const;
    void store_written(pending_call const& done, table_reply const& reply);
    void store_read(table_reply const& reply);
    void become_registered(vm_row const& row, time_point asked_at,
                           time_point now, action_list& actions);
    void retry_later(time_point now);
    void extend_lease(time_point asked_at, vm_row const& written);

    ownership_settings const& settings_;
    ownership_rules const& rules_;
    membership& members_;
    ownership_random& random_;
    id_source& ids_;

    phase phase_ = phase::idle;
    std::optional<pending_call> pending_call_;
    time_point next_call_at_ = never;
    incarnation incarnation_number_;
    incarnation process_first_incarnation_;
    std::string registration_token_;
    /// The version of the own row when the registration with
    /// registration_token_ was first sent. The write stays the same until its
    /// outcome is known.
    row_version registration_base_;
    time_point registration_asked_at_{};
    vm_row registration_row_;
    time_point registered_at_ = never;
    time_point lease_until_ = time_point::min();
    std::uint64_t renewal_count_ = 0;
    /// Versions of the own row's writes and when each was seen: the newest one
    /// that is older than ownership_settings::order_gap, and all later ones.
    std::deque<std::pair<time_point, row_version>> seen_versions_;
    /// The settled version from the row of an earlier incarnation.
    row_version inherited_settled_;
    bool ready_ = false;
    bool leaving_ = false;
    bool stands_by_ = false;
    bool cut_off_ = false;
};

} // namespace mulberry

#endif
