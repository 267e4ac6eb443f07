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
    void start(bool informed, time_point now, action_list& actions);
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
    void examine_row(time_point now, action_list& actions);

    /// Whether a write of the own row is on its way, so that its version is
    /// about to change.
    bool busy() const { return call_.has_value(); }
    /// Precondition: busy().
    time_point asked_at() const { return call_->asked_at; }
    bool registered() const { return phase_ == phase::registered; }
    bool ready() const { return ready_; }
    bool leaving() const { return leaving_; }
    bool stands_by() const { return stands_by_; }
    bool closed() const { return phase_ == phase::closed; }
    incarnation life() const { return life_; }
    /// The first life of this process; none before it registered.
    incarnation process_life() const { return process_life_; }
    /// When the own row last changed from none or another life to this one.
    time_point registered_at() const { return registered_at_; }
    bool lease_holds(time_point now) const;
    /// See ownership_keeper::settled_version().
    row_version settled(time_point now) const;

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
        enrol,
        renew,
        close
    };
    struct call
    {
        operation_id operation;
        call_kind kind;
        time_point asked_at{};
        vm_row written;
    };

    void send(call_kind kind, time_point now, action_list& actions);
    vm_row row_to_write(call_kind kind, time_point now);
    vm_row row_to_enrol();
    void note_version(row_version version, time_point now);
    incarnation ended_below(vm_row const& old, incarnation next) const;
    void on_read(table_reply const& reply, time_point now,
                 action_list& actions);
    void on_enrolled(call const& done, table_reply const& reply, time_point now,
                     action_list& actions);
    void on_renewed(call const& done, table_reply const& reply, time_point now,
                    action_list& actions);
    void on_closed(table_reply const& reply, time_point now);
    void yield_to_others(action_list& actions);
    bool out_of_date(vm_row const& written) const;
    void store_written(call const& done, table_reply const& reply);
    void store_read(table_reply const& reply);
    void become_registered(vm_row const& row, time_point asked_at,
                           time_point now, action_list& actions);
    void retry_later(time_point now);
    void count_renewal(time_point asked_at, vm_row const& written);

    ownership_settings const& settings_;
    ownership_rules const& rules_;
    membership& members_;
    ownership_random& random_;
    id_source& ids_;

    phase phase_ = phase::idle;
    std::optional<call> call_;
    time_point next_call_at_ = never;
    incarnation life_;
    incarnation process_life_;
    std::string enrol_token_;
    /// The row as it was when the enrolment under enrol_token_ was first
    /// written; the write stays the same until its outcome is known.
    row_version enrol_base_;
    time_point enrol_asked_at_{};
    vm_row enrol_row_;
    time_point registered_at_ = never;
    time_point holds_until_ = time_point::min();
    std::uint64_t beat_ = 0;
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
