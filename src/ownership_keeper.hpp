/// Membership and ownership: which VMs live, and which worker is whose.
///
/// Rows of the table (JSON texts, each with the writer's own token):
///   vm/ID      {"token", "life", "process_first_incarnation", "ended_below",
///   "address",
///               "domain", "state", "ready", "listed", "beat", "settled",
///               "stands_by", "millicores"}
///              state: live, leaving, closed, expired; see vm_row.hpp
///   worker/ID  {"token", "owner", "life", "fence",
///               "suspects": [{"vm", "life"}], "intents": [ENGINE NAME]}
///
/// A VM owns a worker while the worker's row names it and its life, and its
/// own vm row is live or leaving under that life. See DESIGN.md, "Ownership".
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

/// A VM as its row tells it. Value.
struct member_view
{
    vm_id vm;
    incarnation incarnation_number;
    domain_id domain;
    /// IP:PORT of its peers' listener.
    std::string address;
    member_state state = member_state::live;
    /// Owns no workers and renews its row seldom; see owner_choice.hpp.
    bool stands_by = false;
    /// Thousandths of a processor core that it has.
    unsigned millicores = 1000;
    friend bool operator==(member_view const&, member_view const&) = default;
};

/// A VM in the platform's lagging list.
struct listed_vm
{
    vm_id vm;
    bool leaving = false;
    friend bool operator==(listed_vm const&, listed_vm const&) = default;
};

/// This VM has the worker now.
struct worker_gained
{
    worker_id worker;
    ownership_grant grant;
};

/// This VM gives no more orders and admits nothing more for the worker. What
/// was sent goes on; call released() when none of it is left.
struct worker_lost
{
    worker_id worker;
};

/// Every earlier owner of the worker was known to send no more at that moment.
struct suspects_cleared
{
    worker_id worker;
    time_point stopped_at;
};

/// The outcome of request_intent().
struct intent_settled
{
    order_id order;
    worker_id worker;
    bool recorded = false;
};

/// Members or owners changed: read members() and owner_of() again.
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
    /// A vm row unchanged for that long on another VM's clock has lapsed.
    duration lease = std::chrono::seconds(3);
    duration heartbeat = std::chrono::milliseconds(500);
    /// How much sooner a holder stops than others may take over.
    duration lease_margin = std::chrono::milliseconds(500);
    /// How long a VM must be missing from the platform's list, having been in
    /// it, before it is known to be gone.
    duration delisted_after = std::chrono::seconds(5);
    /// Time between two voluntary handovers, so that a newcomer's share moves
    /// without a stall.
    duration handover_interval = std::chrono::milliseconds(500);
    duration table_timeout = std::chrono::milliseconds(1000);
    /// How long a VM that registered waits for others before it takes workers
    /// that it did not own before. VMs that start together register within a
    /// moment; the first would take all and hand most of them over later.
    duration settle = std::chrono::milliseconds(0);
    /// The least time between orders of two owners to one worker; see
    /// ownership_keeper::settled_version().
    duration order_gap = std::chrono::milliseconds(0);
    /// Thousandths of a processor core that this VM has.
    unsigned millicores = 1000;
    owner_limits owners;
    /// How soon a registration that was refused, and the first scan of a life
    /// that failed, are tried again: until both are done the VM's workers have
    /// no owner. 0: as soon as later ones.
    duration first_retry{};
    std::uint64_t seed = 1;
};

/// Thread safety: none; owned by the decision core.
class ownership_keeper
{
public:
    /// The references outlive this object. Precondition: the seed differs
    /// between processes, since tokens of writes come from it.
    ownership_keeper(ownership_settings settings, safeguards const& checks,
                     id_source& ids,
                     ownership_rules const& rules = standard_ownership_rules());
    ~ownership_keeper();

    /// Takes all rows there are, read a moment before start(), so that it need
    /// not ask for its own.
    void set_initial_rows(std::vector<table_row> const& rows,
                          action_list& actions);
    /// Registers this life of the VM (a life higher than any before it).
    /// Precondition: this process listens on settings.address, so that an
    /// earlier one that did has ended.
    void start(time_point now, action_list& actions);
    /// The workers of the configuration in force. One that is no longer
    /// declared is given up.
    void set_workers(std::vector<worker_id> workers, time_point now,
                     action_list& actions);
    /// The failure domains of workers; see worker_assignment.
    void set_domains(std::map<worker_id, domain_id> domains);
    /// Whether that operation is this keeper's.
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_vm_list(std::vector<listed_vm> const& vms, time_point now,
                    action_list& actions);
    /// Writes the intent into the worker's row, conditional on ownership;
    /// intent_settled follows, recorded only if certain. An intent whose
    /// write's outcome was lost is read back under the writer's token.
    void request_intent(record_intent const& intent, time_point now,
                        action_list& actions);
    /// The order is over. An inherited intent stays in the row until the
    /// suspects are cleared, since one of them may have yet to send it.
    void forget_intent(mulberry::forget_intent const& intent, time_point now,
                       action_list& actions);
    /// Nothing that this process sent to a worker it lost is in progress any
    /// more, under none of its earlier ownerships, and nothing is pinned there
    /// for an owner before it: it takes itself off the row's suspects.
    void released(worker_id const& worker, time_point now,
                  action_list& actions);
    /// Starts leaving: says so in its row, hands every worker over.
    void leave(time_point now, action_list& actions);
    /// After leave() and once nothing is in progress: writes `closed`.
    void close(time_point now, action_list& actions);
    bool closed() const;
    void tick(time_point now, action_list& actions);

    /// What happened since the last call, in order.
    std::vector<ownership_event> take_events();

    incarnation incarnation_number() const;
    bool registered() const;
    bool leaving() const;
    /// Owns no workers and is to own none for now.
    bool stands_by() const;
    /// By the rows known this VM is one of those that own workers.
    bool assigned() const;
    /// Whether orders may be given: the lease cannot have been taken over.
    bool lease_holds(time_point now) const;
    /// The last moment at which the table is known to have answered; the
    /// moment its question was asked.
    time_point last_table_contact() const;
    /// Members that are live or leaving, this VM among them.
    std::vector<member_view> members() const;
    member_view const* member(vm_id const& vm) const;
    /// IP:PORT of a VM's peers' listener, member or not; empty if its row is
    /// not known.
    std::string address_of(vm_id const& vm) const;
    /// VMs whose process may still act, expired ones among them. Promises are
    /// counted against all of these: a VM whose lease lapsed because it lost
    /// the table may go on without it.
    std::vector<std::pair<vm_id, incarnation>> possibly_alive() const;
    /// The VM that owns a worker by the rows last read; empty if none.
    vm_id owner_of(worker_id const& worker) const;
    fencing_number fence_of(worker_id const& worker) const;
    /// The version of a worker's row; none when it is not known.
    row_version version_of(worker_id const& worker) const;
    /// Rows up to this version are known to be older than the order gap, by
    /// this process or by an earlier one of the same VM.
    row_version settled_version(time_point now) const;
    /// The VM that a worker's row names, whether or not that life goes on;
    /// empty for nobody, or where the row is not known.
    vm_id recorded_owner_of(worker_id const& worker) const;
    /// Whether a VM's life is over for certain: closed, expired with its VM
    /// gone from the list, or followed by a later life at the same address.
    bool has_stopped(vm_id const& vm, incarnation incarnation_number) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
