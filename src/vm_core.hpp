/// The decision core of one entry VM: a state machine that takes events with
/// their time and returns actions. No I/O, clock, threads or global state;
/// deterministic for a given seed.
#ifndef MULBERRY_VM_CORE_HPP
#define MULBERRY_VM_CORE_HPP

#include "action.hpp"
#include "cluster_view.hpp"
#include "configuration_keeper.hpp"
#include "core_event.hpp"
#include "load_budget.hpp"
#include "model_entry.hpp"
#include "ownership_keeper.hpp"
#include "quarter_store.hpp"
#include "routing_policy.hpp"
#include "safeguards.hpp"
#include "service_caller.hpp"
#include "worker_dispatcher.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// Settings of the core and its parts.
struct core_settings
{
    ownership_settings ownership;
    configuration_settings configuration;
    service_settings services;
    /// The core sets its `vm` to ownership.vm.
    quarter_settings quarter;
    entry_settings entry;
    dispatcher_limits dispatch;
    /// Interval of ownership hints to the other VMs.
    duration hint_interval = std::chrono::milliseconds(200);
    /// How long a leaving VM still accepts new requests and forwards them to
    /// other VMs, while the load balancer learns that the VM leaves. After
    /// this time the VM refuses new requests.
    duration drain_grace = std::chrono::seconds(2);
    /// Name of the routing policy, see make_policy().
    std::string policy = "mulberry";
    /// Name of the load budget, see make_load_budget().
    std::string load_budget = "exchanged_counts";
    std::uint64_t seed = 1;
};

/// Result of an operator's confirm, for the operators' listener.
using confirm_result = confirm_settled;

/// Snapshot of the VM's state for status pages and metrics. Value.
struct core_status
{
    struct worker_status
    {
        worker_view view;
        /// Fencing number of this VM's ownership.
        fencing_number fence;
        dispatch_counts counts;
    };
    vm_id vm;
    incarnation vm_incarnation;
    bool registered = false;
    bool leaving = false;
    bool takes_new_work = false;
    bool lease_holds = false;
    /// Whether this VM serves while the table is unreachable, because a
    /// majority of VMs promised to confirm no other configuration meanwhile.
    bool going_on_without_table = false;
    bool configuration_known = false;
    config_version configuration;
    std::shared_ptr<declaration const> declared;
    /// Workers that this VM owns.
    std::vector<worker_status> workers;
    std::vector<member_view> members;
    /// Adapters resident at any worker, as far as this VM knows.
    std::map<worker_id, std::vector<adapter_ref>> residents;
    /// Requests in progress.
    std::size_t in_progress = 0;
    entry_counts entry;
    latency_summary first_event_latency;
    latency_summary answer_latency;
    service_counts services;
    /// Counts of workers that this VM no longer owns.
    dispatch_counts retired_counts;
    /// The current quarter, such as 2026-Q4.
    std::string quarter;
    /// Standing of every target in this quarter, for the whole deployment.
    std::vector<target_standing> standings;
};

/// Thread safety: none; all calls come from one thread.
class vm_core : private local_owner, private answer_counter
{
public:
    /// `checks` outlives this object.
    vm_core(core_settings settings, safeguards const& checks);
    ~vm_core() override;
    vm_core(vm_core const&) = delete;
    vm_core& operator=(vm_core const&) = delete;

    /// Registers the VM and reads the configuration.
    void start(time_point now, action_list& actions);
    /// Handles one event and appends the resulting actions. Precondition:
    /// `now` is not before that of an earlier call.
    void handle(core_event const& event, time_point now, action_list& actions);

    /// Returns and clears the results of confirms that ended since the last
    /// call.
    std::vector<confirm_result> take_confirms();
    /// Whether the VM has left and its process may exit.
    bool can_exit(time_point now) const;
    /// Whether new requests are accepted now.
    bool takes_new_work(time_point now) const;
    core_status status(time_point now) const;
    /// The configuration in force; null until one is known.
    std::shared_ptr<declaration const> declared() const { return declared_; }
    /// The workers whose load reports the core needs: workers that this VM
    /// owns, and workers that it gave up while requests or orders of this VM
    /// may still be in progress there.
    std::vector<worker_id> watched_workers() const;
    /// IP:PORT of the peers' listener of a VM; empty if unknown.
    std::string address_of(vm_id const& vm) const;

private:
    /// The dispatcher of a worker that this VM no longer owns.
    struct retired_dispatcher
    {
        worker_id worker;
        std::unique_ptr<worker_dispatcher> dispatcher;
    };

    void on(model_request_arrived const& event, time_point now,
            action_list& actions);
    void on(service_request_arrived const& event, time_point now,
            action_list& actions);
    void on(client_disconnected const& event, time_point now,
            action_list& actions);
    void on(forwarded_request_arrived const& event, time_point now,
            action_list& actions);
    void on(peer_message_received const& event, time_point now,
            action_list& actions);
    void on(vm_list_received const& event, time_point now,
            action_list& actions);
    void on(confirm_requested const& event, time_point now,
            action_list& actions);
    void on(leave_requested const& event, time_point now, action_list& actions);
    void on(quarter_started const& event, time_point now, action_list& actions);
    void on(clock_ticked const& event, time_point now, action_list& actions);
    void on(attempt_chunk const& event, time_point now, action_list& actions);
    void on(attempt_end const& event, time_point now, action_list& actions);
    void on(attempt_failure const& event, time_point now, action_list& actions);
    void on(service_attempt_answer const& event, time_point now,
            action_list& actions);
    void on(order_result const& event, time_point now, action_list& actions);
    void on(engine_report const& event, time_point now, action_list& actions);
    void on(table_reply const& event, time_point now, action_list& actions);
    void on(object_reply const& event, time_point now, action_list& actions);

    void submit_locally(worker_id const& worker, model_request request,
                        time_point now, action_list& actions) override;
    void withdraw_locally(worker_id const& worker, request_id const& request,
                          time_point now, action_list& actions) override;
    void count_completed(model_request const& request, duration took) override;
    void count_failed(model_request const& request, error_kind kind) override;
    void count_withdrawn(model_request const& request,
                         duration waited) override;

    /// Moves the actions that the shell has to perform from `raw` to
    /// `actions`, handles the other actions within the core, and handles the
    /// events of the ownership and configuration keepers, until no action or
    /// event is left.
    void process_actions(action_list& raw, time_point now,
                         action_list& actions);
    /// Handles an action that is meant for a part of the core, and returns
    /// whether it was one.
    bool handle_internally(action const& one, time_point now, action_list& raw);
    /// Handle the keeper's events; return whether there were any.
    bool handle_ownership_events(time_point now, action_list& actions);
    bool handle_configuration_events(time_point now, action_list& actions);
    void on_worker_gained(worker_gained const& event, time_point now,
                          action_list& actions);
    void on_worker_lost(worker_lost const& event, time_point now,
                        action_list& actions);
    void apply_configuration(configuration_in_force const& event,
                             time_point now, action_list& actions);
    void on_ownership_hint(vm_id const& from, ownership_hint const& hint,
                           time_point now);
    void send_hints(time_point now, action_list& actions);
    /// Passes the VMs whose votes count to the configuration keeper.
    void refresh_voters(time_point now);
    /// Updates the cluster view of the workers that this VM owns.
    void refresh_view(time_point now);
    /// Updates the owners of the other workers in the cluster view.
    void refresh_owners(time_point now);
    /// Sends no requests to the owner's workers that its hint does not list.
    void exclude_unlisted(vm_id const& owner, std::set<worker_id> const& listed,
                          time_point now);
    /// Removes retired dispatchers that have nothing in progress and signs off
    /// from their workers.
    void release_retired(time_point now, action_list& actions);
    /// Signs off from a worker unless another retired dispatcher still has
    /// requests there.
    void release_if_last_dispatcher(worker_id const& worker, time_point now,
                                    action_list& actions);
    /// On leaving: writes the last counts and closes this VM's row once no
    /// request is in progress.
    void close_when_idle(time_point now, action_list& actions);
    void update_quarter(time_point now, action_list& actions);
    void count_usage(worker_dispatcher& dispatcher, time_point now);
    /// Whether this VM folds the rows of ended incarnations: the registered
    /// VM with the lowest id does.
    bool folds_rows() const;
    /// The error for new requests while takes_new_work() is false.
    error admission_error() const;
    /// Whether this VM may admit requests for the workers that it owns.
    bool may_serve_owned_workers(time_point now) const;
    std::size_t in_progress() const;
    /// The dispatcher, retired or not, that knows an attempt, order or
    /// request; null if none.
    template <class Id>
    worker_dispatcher* dispatcher_of(Id const& id);
    /// All dispatchers, including the retired ones.
    std::vector<worker_dispatcher*> all_dispatchers() const;

    core_settings settings_;
    safeguards const* checks_;
    id_source ids_;
    std::unique_ptr<routing_policy> policy_;
    std::unique_ptr<load_budget> budget_;
    cluster_view view_;
    /// Workers that each other VM owns or owned, by the rows read so far.
    std::map<vm_id, std::set<worker_id>> workers_by_owner_;
    ownership_keeper ownership_;
    configuration_keeper configuration_;
    service_caller services_;
    quarter_store quarter_;
    model_entry entry_;
    std::shared_ptr<declaration const> declared_;
    std::map<worker_id, std::unique_ptr<worker_dispatcher>> dispatchers_;
    /// Dispatchers of workers that this VM gave up, while requests or orders
    /// of theirs may be in progress.
    std::vector<retired_dispatcher> retired_;
    std::vector<confirm_result> confirms_;
    /// The VMs whose promises count, as last passed to configuration_.
    std::vector<std::pair<vm_id, incarnation>> voters_;
    dispatch_counts retired_counts_;
    time_point next_hint_at_{};
    time_point next_voter_refresh_at_{};
    time_point next_usage_at_{};
    std::optional<time_point> leaving_since_;
    time_point close_deadline_ = never;
};

} // namespace mulberry

#endif
