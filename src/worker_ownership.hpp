/// One worker's row as this VM knows it, and this VM's writes to that row.
#ifndef MULBERRY_WORKER_OWNERSHIP_HPP
#define MULBERRY_WORKER_OWNERSHIP_HPP

#include "action.hpp"
#include "membership.hpp"
#include "ownership_keeper.hpp"
#include "ownership_random.hpp"
#include "ownership_rules.hpp"
#include "vm_registration.hpp"
#include "worker_row.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// The objects shared by all worker_ownership objects, which they outlive.
struct ownership_context
{
    ownership_settings const& settings;
    ownership_rules const& rules;
    membership const& members;
    vm_registration const& registration;
    ownership_random& random;
    id_source& ids;
    std::vector<ownership_event>& events;
};

/// Sends at most one write at a time. Requested changes are merged into the
/// next write, and a write whose outcome is unknown is followed by another
/// write until the table shows the current row. Thread safety: none.
class worker_ownership
{
public:
    worker_ownership(worker_id worker, ownership_context const& context);

    worker_id const& id() const { return worker_; }

    /// Stores the row if it is newer than the known one. Returns whether the
    /// owner or the fencing number changed.
    bool store(row_version version, worker_row const& row);
    /// Stores that the row is unreadable as of this version, if it is newer
    /// than the known one. The worker then counts as unowned. Returns whether
    /// an owner was known.
    bool store_unreadable(row_version version, time_point now);
    /// The version of the known row, readable or not; none when no row is
    /// known.
    row_version version() const { return version_; }
    /// Gains or gives up ownership and clears suspects according to the known
    /// rows, and emits the events.
    void update_ownership(time_point now, action_list& actions);

    /// Sets whether the worker is in the current configuration.
    void set_declared(bool declared) { declared_ = declared; }
    bool declared() const { return declared_; }
    /// Records the worker's incarnation, as the registry lists it.
    void set_incarnation(worker_start started) { incarnation_ = started; }
    /// Records which VM should own the worker, and since when.
    void set_assignee(vm_id const& vm, time_point now);
    vm_id const& assignee() const { return assignee_; }
    /// Whether the assignee has been the same for a lease.
    bool assignee_stable(time_point now) const;

    /// Whether this VM owns the worker and may use it; false once a handover
    /// may have been applied.
    bool is_active_owner() const { return owned_fence_.has_value(); }
    /// Whether certainly nobody owns the worker.
    bool unowned() const;
    /// When the row that is unreadable was seen first; time_point::min() when
    /// the row is readable or unknown.
    time_point unreadable_since() const { return unreadable_since_; }
    /// Null when no row is known or the row is unreadable.
    worker_row const* row() const { return row_ ? &*row_ : nullptr; }

    /// Requests a handover to another owner (to nobody if `to` has no VM), or
    /// changes the target of the handover. Does nothing unless this VM owns the
    /// worker.
    void hand_over(incarnation_id const& to);
    bool handing_over() const { return handover_.has_value(); }
    /// Cancels the requested handover, unless a write with it was sent.
    void cancel_handover();
    /// Requests that the intent to unload the adapter is written into the row;
    /// emits intent_settled, at once with `recorded` false if this VM is not
    /// the owner.
    void request_intent(order_id order, engine_name const& name,
                        action_list& actions);
    /// Requests that the intent is removed from the row.
    void forget_intent(engine_name const& name, time_point now);
    /// Removes this process's incarnations from the suspects, now or when they
    /// appear there. Precondition: nothing that this process sent as an earlier
    /// owner is in progress any more.
    void remove_self_from_suspects();
    /// Ends the use of the worker at once, without a write.
    void give_up(action_list& actions);

    /// The row to write to make this VM the owner. Precondition: unowned().
    worker_row takeover_row() const;
    /// The condition that the row still has the known version.
    table_condition condition() const;
    /// Whether no write is in progress and no retry delay is running.
    bool may_write(time_point now) const;

    /// Sends the next write if one is needed and due.
    void tick(time_point now, action_list& actions);
    /// Whether the operation is the write in progress.
    bool knows(operation_id operation) const;
    /// Returns whether the owner or the fencing number changed. Precondition:
    /// knows(reply.operation).
    bool on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// Delays the next write after a failed one, including a failed takeover.
    void retry_later(time_point now);

private:
    struct pending_write
    {
        operation_id operation;
        /// The version of the row on which the write is based.
        row_version base;
        worker_row written;
    };
    struct handover
    {
        incarnation_id to;
        fencing_number previous_fence;
        /// A write with the handover was sent and may be applied at any time.
        bool sent = false;
    };

    incarnation_id self() const;
    bool is_owner() const;
    bool is_own_process(incarnation_id const& who) const;
    bool should_forget(engine_name const& name) const;
    bool may_want_write() const;
    bool wants_write(time_point now) const;
    worker_row next_row() const;
    void apply_owner_changes(worker_row& row) const;
    void gain(action_list& actions);
    void clear_suspects(time_point now, action_list& actions);
    void report_recorded_intents(worker_row const& recorded,
                                 action_list& actions);
    void drop_intents();
    void report_intent(order_id order, bool recorded);
    bool store_reply(pending_write const& done, table_outcome outcome,
                     table_row const& row, time_point now,
                     action_list& actions);
    worker_row last_row() const;
    worker_row row_after_unreadable() const;
    void on_unknown_outcome(pending_write const& done, action_list& actions);
    void log_event(action_list& actions, std::string kind,
                   std::string text) const;

    worker_id worker_;
    ownership_context context_;
    row_version version_;
    std::optional<worker_row> row_;
    time_point unreadable_since_ = time_point::min();
    bool declared_ = false;
    worker_start incarnation_;
    vm_id assignee_;
    time_point assignee_stable_at_ = never;

    std::optional<fencing_number> owned_fence_;
    /// suspects_cleared was emitted, or there were no suspects.
    bool suspects_cleared_ = false;
    std::optional<handover> handover_;
    std::map<engine_name, std::vector<order_id>> requested_intents_;
    std::set<engine_name> intents_to_forget_;
    /// Intents that were in the row when this VM became the owner.
    std::set<engine_name> inherited_intents_;
    time_point forget_at_ = never;
    /// Nothing that this process sent as an earlier owner is in progress, so
    /// this process should not be among the suspects.
    bool remove_self_wanted_ = true;

    std::optional<pending_write> pending_write_;
    /// A write was sent whose outcome is unknown.
    bool outcome_unknown_ = false;
    time_point retry_at_ = time_point::min();
};

} // namespace mulberry

#endif
