/// This VM's own row: registering, renewing, leaving, closing.
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

/// Writes one row, one write at a time. Thread safety: none. The references
/// outlive this object.
class vm_registration
{
public:
    vm_registration(ownership_settings const& settings,
                    ownership_rules const& rules, membership& members,
                    ownership_random& random, id_source& ids);

    /// Reads the row and registers a life above it. With `informed` the rows
    /// were read a moment ago: it registers at once, or a while later if the
    /// life before stood by.
    void start(bool rows_known, time_point now, action_list& actions);
    /// The workers of the configuration are known: this VM can take some.
    void set_ready(time_point now);
    /// Whether this VM is to own workers or stands by; says so in its row.
    /// Precondition: it owns none if it is to stand by.
    void set_stands_by(bool stands_by, time_point now);
    void leave(time_point now);
    void close(time_point now);
    void tick(time_point now, action_list& actions);

    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// After the own row may have been read: learns that it expired or that
    /// another process took the VM's name.
    void check_own_row(time_point now, action_list& actions);

    /// Whether a write of the own row is on its way, so that its version is
    /// about to change.
    bool busy() const { return pending_call_.has_value(); }
    /// Precondition: busy().
    time_point asked_at() const { return pending_call_->asked_at; }
    bool registered() const { return phase_ == phase::registered; }
    bool ready() const { return ready_; }
    bool leaving() const { return leaving_; }
    bool stands_by() const { return stands_by_; }
    bool closed() const { return phase_ == phase::closed; }
    incarnation incarnation_number() const { return incarnation_number_; }
    /// The first life of this process; none before it registered.
    incarnation process_first_incarnation() const
    {
        return process_first_incarnation_;
    }
    /// When the own row last changed from none or another life to this one.
    time_point registered_at() const { return registered_at_; }
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
        /// Expired while leaving: not worth a new life.
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
    /// The row as it was when the enrolment under registration_token_ was first
    /// written; the write stays the same until its outcome is known.
    row_version registration_base_;
    time_point registration_asked_at_{};
    vm_row registration_row_;
    time_point registered_at_ = never;
    time_point lease_until_ = time_point::min();
    std::uint64_t renewal_count_ = 0;
    /// What the table's newest version was, and when; the newest of those that
    /// are older than the order gap, and all after it.
    std::deque<std::pair<time_point, row_version>> seen_versions_;
    /// Of an earlier process of this VM.
    row_version inherited_settled_;
    bool ready_ = false;
    bool leaving_ = false;
    bool stands_by_ = false;
};

} // namespace mulberry

#endif
