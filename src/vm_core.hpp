/// The decision core of one entry VM: events with the time go in, actions come
/// out. No I/O, clock, threads or global state; deterministic for one seed.
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
#include <string>
#include <vector>

namespace mulberry
{

struct core_settings
{
    ownership_settings ownership;
    configuration_settings configuration;
    service_settings services;
    /// Its VM is ownership.vm.
    quarter_settings quarter;
    entry_settings entry;
    dispatcher_limits dispatch;
    duration hint_interval = std::chrono::milliseconds(200);
    /// How long a leaving VM still passes new requests on, while the balancer
    /// learns of it; after that it refuses them.
    duration drain_grace = std::chrono::seconds(2);
    std::string policy = "mulberry";
    std::string load_budget = "exchanged_counts";
    std::uint64_t seed = 1;
};

/// How a confirm ended, for the operators' listener.
using confirm_result = confirm_settled;

/// What the VM looks like from outside, at a moment. Value.
struct core_status
{
    struct worker_status
    {
        worker_view view;
        fencing_number fence;
        dispatch_counts counts;
    };
    vm_id vm;
    incarnation vm_incarnation;
    bool registered = false;
    bool leaving = false;
    bool takes_new_work = false;
    bool lease_holds = false;
    bool going_on_without_table = false;
    bool configuration_known = false;
    config_version configuration;
    std::shared_ptr<declaration const> declared;
    std::vector<worker_status> workers;
    std::vector<member_view> members;
    /// What is loaded anywhere, as far as this VM knows.
    std::map<worker_id, std::vector<adapter_ref>> residents;
    std::size_t in_progress = 0;
    entry_counts entry;
    latency_summary first_event_latency;
    latency_summary answer_latency;
    service_counts services;
    /// Counts of workers that this VM no longer owns.
    dispatch_counts retired_counts;
    /// Of the whole deployment.
    std::string quarter;
    std::vector<target_standing> standings;
};

/// Thread safety: none; one thread feeds it.
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
    /// Takes one event. Precondition: `now` never falls.
    void handle(core_event const& event, time_point now, action_list& actions);

    /// Confirms that ended since the last call.
    std::vector<confirm_result> take_confirms();
    /// Whether the VM has left and its process may end.
    bool can_exit(time_point now) const;
    bool takes_new_work(time_point now) const;
    core_status status(time_point now) const;
    /// The configuration in force; null before the first.
    std::shared_ptr<declaration const> declared() const { return declared_; }
    /// The workers whose load reports the core needs: those it owns, and
    /// those it gave up while something of its own is left there.
    std::vector<worker_id> watched_workers() const;
    /// IP:PORT of a VM's peers' listener; empty if it is not known.
    std::string address_of(vm_id const& vm) const;

private:
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
    void count_whole(model_request const& request, duration took) override;
    void count_failed(model_request const& request, error_kind kind) override;
    void count_withdrawn(model_request const& request,
                         duration waited) override;

    /// Passes on to `actions` what the shell has to do, feeds what concerns
    /// the core's own parts back to them, and acts on what the keepers
    /// reported, until nothing is left over.
    void process_actions(action_list& raw, time_point now,
                         action_list& actions);
    /// Whether the action was for a part of the core itself.
    bool handle_internally(action const& one, time_point now, action_list& raw);
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
    void refresh_voters(time_point now);
    void refresh_view(time_point now);
    void refresh_owners(time_point now);
    void release_retired(time_point now, action_list& actions);
    void release_if_last_dispatcher(worker_id const& worker, time_point now,
                                    action_list& actions);
    void close_when_idle(time_point now, action_list& actions);
    void update_quarter(time_point now, action_list& actions);
    void count_usage(worker_dispatcher& dispatcher, time_point now);
    /// Whether this VM is the one that folds the rows of lives that are over.
    bool folds_rows() const;
    /// What new work is answered while takes_new_work() is false.
    error admission_error() const;
    /// Whether this VM may admit work for the workers it owns.
    bool may_serve_owned_workers(time_point now) const;
    std::size_t in_progress() const;
    /// The dispatcher that knows an attempt, order or request; null if none.
    template <class Id>
    worker_dispatcher* dispatcher_of(Id const& id);
    /// Every dispatcher, those of workers given up among them.
    std::vector<worker_dispatcher*> all_dispatchers() const;

    core_settings settings_;
    safeguards const* checks_;
    id_source ids_;
    std::unique_ptr<routing_policy> policy_;
    std::unique_ptr<load_budget> budget_;
    cluster_view view_;
    ownership_keeper ownership_;
    configuration_keeper configuration_;
    service_caller services_;
    quarter_store quarter_;
    model_entry entry_;
    std::shared_ptr<declaration const> declared_;
    std::map<worker_id, std::unique_ptr<worker_dispatcher>> dispatchers_;
    /// Dispatchers of workers given up, while requests of theirs go on.
    std::vector<retired_dispatcher> retired_;
    std::vector<confirm_result> confirms_;
    /// The VMs whose promises count, as last told to configuration_.
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
