/// One worker's row as this VM knows it, and this VM's writes to it.
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

/// What every worker's ownership needs of the rest. The references outlive
/// it.
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

/// The owner's writes go through a queue of one: what is wanted is merged
/// into the next write, and a write whose outcome is unknown is followed by
/// another until the table says what the row is. Thread safety: none.
class worker_ownership
{
public:
    worker_ownership(worker_id worker, ownership_context const& context);

    worker_id const& id() const { return worker_; }

    /// Takes the row if it is newer than the one known. True when the owner
    /// or the fencing number changed.
    bool store(row_version version, worker_row const& row);
    /// Of the row as it is known; none when it is not.
    row_version version() const { return version_; }
    /// Gains, loses and clears according to the rows known.
    void update_ownership(time_point now, action_list& actions);

    void set_declared(bool declared) { declared_ = declared; }
    bool declared() const { return declared_; }
    /// Remembers since when that VM has been the one that should own it.
    void set_assignee(vm_id const& vm, time_point now);
    vm_id const& assignee() const { return assignee_; }
    bool assignee_stable(time_point now) const;

    /// This VM owns it and counts on it.
    bool is_active_owner() const { return owned_fence_.has_value(); }
    /// Nobody does, for certain.
    bool unowned() const;
    worker_row const* row() const { return row_ ? &*row_ : nullptr; }

    /// Wants the row to name another owner (nobody, without a VM), or changes
    /// to whom. Does nothing unless this VM owns the worker.
    void hand_over(incarnation_id const& to);
    bool handing_over() const { return handover_.has_value(); }
    /// Wants no handover any more; too late once its write may have landed.
    void cancel_handover();
    void request_intent(order_id order, engine_name const& name,
                        action_list& actions);
    void forget_intent(engine_name const& name, time_point now);
    /// Nothing that this process sent as an earlier owner is in progress any
    /// more: takes its lives off the suspects, now or when they appear there.
    void remove_self_from_suspects();
    /// Gives it up at once, without a write.
    void give_up(action_list& actions);

    /// The row that makes this VM the owner. Precondition: unowned().
    worker_row takeover_row() const;
    table_condition condition() const;
    bool may_write(time_point now) const;

    /// Sends the next write if one is wanted and due.
    void tick(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    /// True when the owner or the fencing number changed.
    bool on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// A take of this worker by the keeper had no outcome: not again at once.
    void retry_later(time_point now);

private:
    struct pending_write
    {
        operation_id operation;
        /// The row's version that the write rests on.
        row_version base;
        worker_row written;
    };
    struct handover
    {
        incarnation_id to;
        fencing_number previous_fence;
        /// A write with it was sent: it may land at any time.
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
                     table_row const& row, action_list& actions);
    void on_unknown_outcome(pending_write const& done, action_list& actions);
    void log_event(action_list& actions, std::string kind,
                   std::string text) const;

    worker_id worker_;
    ownership_context context_;
    row_version version_;
    std::optional<worker_row> row_;
    bool declared_ = false;
    vm_id assignee_;
    time_point assignee_stable_at_ = never;

    std::optional<fencing_number> owned_fence_;
    /// suspects_cleared was told, or nothing had to be cleared.
    bool suspects_cleared_ = false;
    std::optional<handover> handover_;
    std::map<engine_name, std::vector<order_id>> requested_intents_;
    std::set<engine_name> intents_to_forget_;
    /// Intents that were in the row when this VM became its owner.
    std::set<engine_name> inherited_intents_;
    time_point forget_at_ = never;
    /// Nothing that this process sent as an earlier owner is in progress.
    bool remove_self_wanted_ = true;

    std::optional<pending_write> pending_write_;
    /// A write was given up whose outcome is not known yet.
    bool outcome_unknown_ = false;
    time_point retry_at_ = time_point::min();
};

} // namespace mulberry

#endif
