/// Membership of VMs and ownership of workers.
///
/// Rows of the metadata table (JSON texts, each with the token of its write):
///   vm/ID      {"token", "life", "process_life", "ended_below", "address",
///               "domain", "state", "ready", "listed", "beat", "settled",
///               "stands_by", "millicores", "cut_off"}
///              state: live, leaving, closed, expired; see vm_row.hpp
///   worker/ID  {"token", "owner", "life", "fence",
///               "suspects": [{"vm", "life"}], "intents": [ENGINE NAME]}
///
/// "life" is an incarnation number. A VM owns a worker while the worker's row
/// names the VM and its incarnation, and the VM's own row is live or leaving
/// with the same incarnation. See DESIGN.md, "Ownership".
#ifndef MULBERRY_OWNERSHIP_KEEPER_HPP
#define MULBERRY_OWNERSHIP_KEEPER_HPP

#include "action.hpp"
#include "ids.hpp"
#include "owner_choice.hpp"
#include "ownership_rules.hpp"
#include "safeguards.hpp"
#include "table.hpp"
#include "time_point.hpp"
#include "worker_dispatcher.hpp"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mulberry
{

enum class member_state
{
    live,
    leaving,
    closed,
    expired
};

/// A member, as described by its row. Value.
struct member_view
{
    vm_id vm;
    incarnation incarnation_number;
    domain_id domain;
    /// IP:PORT of its listener for other VMs.
    std::string address;
    member_state state = member_state::live;
    /// On standby: owns no workers and renews its row less often; see
    /// owner_choice.hpp.
    bool stands_by = false;
    /// Processor capacity in thousandths of a core.
    unsigned millicores = 1000;
    /// The VM reaches no worker, and so cannot own any.
    bool cut_off = false;
    friend bool operator==(member_view const&, member_view const&) = default;
};

/// A VM in the platform's list, which may lag behind. Value.
struct listed_vm
{
    vm_id vm;
    /// The platform is about to remove the VM.
    bool leaving = false;
    friend bool operator==(listed_vm const&, listed_vm const&) = default;
};

/// This VM owns the worker now.
struct worker_gained
{
    worker_id worker;
    ownership_grant grant;
};

/// This VM must give no more orders and admit no more requests for the worker.
/// Requests that were sent go on; call released() once all have ended.
struct worker_lost
{
    worker_id worker;
};

/// At `stopped_at` it was known that no earlier owner of the worker can send
/// any more.
struct suspects_cleared
{
    worker_id worker;
    time_point stopped_at;
};

/// The result of request_intent().
struct intent_settled
{
    order_id order;
    worker_id worker;
    bool recorded = false;
};

/// Members or owners changed; members() and owner_of() must be read again.
struct membership_changed
{
};

using ownership_event =
    std::variant<worker_gained, worker_lost, suspects_cleared, intent_settled,
                 membership_changed>;

struct ownership_settings
{
    vm_id vm;
    domain_id domain;
    std::string address;
    /// A VM's lease lapses when its row is unchanged for this long on another
    /// VM's clock.
    duration lease = std::chrono::seconds(3);
    /// Interval of lease renewals and of scans of the table.
    duration heartbeat = std::chrono::milliseconds(500);
    /// How much earlier a holder stops using its lease than other VMs may take
    /// over.
    duration lease_margin = std::chrono::milliseconds(500);
    /// How long a VM that was in the platform's list must be missing from the
    /// list before it counts as delisted.
    duration delisted_after = std::chrono::seconds(5);
    /// Time between two handovers for rebalancing, so that many workers do not
    /// pause at the same time.
    duration handover_interval = std::chrono::milliseconds(500);
    /// Timeout of one operation of the table.
    duration table_timeout = std::chrono::milliseconds(1000);
    /// How long a registered VM waits for other VMs before it takes workers
    /// that it did not own before. Of VMs that start together the first would
    /// otherwise take all workers and hand most of them over later.
    duration settle = std::chrono::milliseconds(0);
    /// Minimum time between orders of two owners to one worker; see
    /// ownership_keeper::settled_version().
    duration order_gap = std::chrono::milliseconds(0);
    /// Processor capacity of this VM in thousandths of a core.
    unsigned millicores = 1000;
    owner_limits owners;
    /// Retry interval of a failed registration and of a failed first scan of an
    /// incarnation: until both succeed the VM's workers have no owner. 0: the
    /// same interval as for later failures.
    duration first_retry{};
    std::uint64_t seed = 1;
};

/// Registers this VM, renews its lease, expires VMs whose lease lapsed, and
/// takes and hands over workers. Operations of the table are requested through
/// the `actions` parameters; their replies come through on_table(). Thread
/// safety: none; used by the decision core only.
class ownership_keeper
{
public:
    /// The references outlive this object. Precondition: the seed differs
    /// between processes, since the tokens of writes are derived from it.
    ownership_keeper(ownership_settings settings, safeguards const& checks,
                     id_source& ids,
                     ownership_rules const& rules = standard_ownership_rules());
    ~ownership_keeper();

    /// Stores all rows of the table, read just before start(), so that the
    /// keeper need not read this VM's own row first. Call before start().
    void set_initial_rows(std::vector<table_row> const& rows,
                          action_list& actions);
    /// Registers a new incarnation of the VM, with a higher number than all
    /// earlier ones. Precondition: this process listens on settings.address,
    /// which proves that an earlier process that did has ended.
    void start(time_point now, action_list& actions);
    /// Sets the workers of the current configuration. Workers that are no
    /// longer declared are given up.
    void set_workers(std::vector<worker_id> workers, time_point now,
                     action_list& actions);
    /// Sets the failure domains of workers; see worker_assignment.
    void set_domains(std::map<worker_id, domain_id> domains);
    /// Sets the incarnations of workers, as the registry lists them.
    void set_incarnations(std::map<worker_id, worker_start> const& started);
    /// Sets whether this VM reaches no worker. Its workers are then handed over
    /// to other VMs, if there are any that reach workers.
    void set_cut_off(bool cut_off, time_point now, action_list& actions);
    /// Whether this keeper started the operation and expects its reply.
    bool knows(operation_id operation) const;
    /// Handles the reply to an operation of this keeper.
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// Handles the platform's list of VMs.
    void on_vm_list(std::vector<listed_vm> const& vms, time_point now,
                    action_list& actions);
    /// Writes the intent to unload an adapter into the worker's row if this VM
    /// owns the worker. intent_settled follows, with `recorded` only if the
    /// intent is certainly in the row. If the reply to the write is lost, the
    /// write is repeated until the row's content is known.
    void request_intent(record_intent const& intent, time_point now,
                        action_list& actions);
    /// Removes the intent of an order that is over. An inherited intent stays
    /// in the row until the suspects are cleared, since a suspect may have yet
    /// to send the order.
    void forget_intent(mulberry::forget_intent const& intent, time_point now,
                       action_list& actions);
    /// Removes this process from the suspects in the worker's row.
    /// Precondition: nothing that this process sent to the worker as an earlier
    /// owner is in progress, and nothing is pinned there for owners before this
    /// VM.
    void released(worker_id const& worker, time_point now,
                  action_list& actions);
    /// Starts leaving: writes the state `leaving` and hands over all workers.
    void leave(time_point now, action_list& actions);
    /// Writes the state `closed`. Precondition: leave() was called and nothing
    /// is in progress any more.
    void close(time_point now, action_list& actions);
    /// Whether close() is complete.
    bool closed() const;
    /// Sends due operations. Call at intervals shorter than the heartbeat.
    void tick(time_point now, action_list& actions);

    /// The events since the last call, in order.
    std::vector<ownership_event> take_events();

    /// The number of the current incarnation; none before the first
    /// registration.
    incarnation incarnation_number() const;
    bool registered() const;
    bool leaving() const;
    /// Whether this VM is on standby and owns no workers; see owner_choice.hpp.
    bool stands_by() const;
    /// Whether this VM is one of the owners chosen from the known rows.
    bool assigned() const;
    /// Whether the lease is valid, so that no other VM can have taken over and
    /// this VM may give orders.
    bool lease_holds(time_point now) const;
    /// The latest moment at which the table is known to have answered, counted
    /// from when the request was sent.
    time_point last_table_contact() const;
    /// All VMs that are live or leaving, including this VM.
    std::vector<member_view> members() const;
    /// Null when the VM is no member.
    member_view const* member(vm_id const& vm) const;
    /// IP:PORT of the VM's listener for other VMs, whether or not the VM is a
    /// member; empty if its row is not known.
    std::string address_of(vm_id const& vm) const;
    /// VMs whose process may still act, including expired VMs. Promises are
    /// counted against all of them: a VM whose lease lapsed because it lost its
    /// connection to the table may go on without the table.
    std::vector<std::pair<vm_id, incarnation>> possibly_alive() const;
    /// The VM that owns the worker according to the known rows; empty if none.
    vm_id owner_of(worker_id const& worker) const;
    /// The fencing number in the worker's row; none when the row is not known.
    fencing_number fence_of(worker_id const& worker) const;
    /// The version of the worker's row; none when the row is not known.
    row_version version_of(worker_id const& worker) const;
    /// Rows up to this version are known to be older than
    /// ownership_settings::order_gap, according to this process or an earlier
    /// process of the same VM.
    row_version settled_version(time_point now) const;
    /// The VM named in the worker's row, whether or not that incarnation is
    /// still a member; empty if the row names nobody or is not known.
    vm_id recorded_owner_of(worker_id const& worker) const;
    /// Whether the process of the VM's incarnation can certainly send no more:
    /// it closed, it is expired and its VM is delisted, or a later process
    /// listens on the same address.
    bool has_stopped(vm_id const& vm, incarnation incarnation_number) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
