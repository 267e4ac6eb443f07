/// How the requests of one service wait, are placed and are turned away on one
/// VM.
#ifndef MULBERRY_SERVICE_SCHEDULER_HPP
#define MULBERRY_SERVICE_SCHEDULER_HPP

#include "adapter_demand.hpp"
#include "adapter_version_history.hpp"
#include "adapter_locations.hpp"
#include "backend_entry.hpp"
#include "error_kind.hpp"
#include "prompt_copy.hpp"
#include "prefill_rate.hpp"
#include "relay_request.hpp"
#include "routing_config.hpp"
#include "worker_adapters.hpp"
#include "worker_health.hpp"
#include "worker_notices.hpp"
#include "prefill_backlog.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mulberry
{

/// A request as the scheduler knows it; unique within a process.
using ticket_id = number_id<struct ticket_tag>;

/// A request that waits for a worker.
struct work_item
{
    ticket_id ticket;
    std::optional<model_target> target;
    /// 0 is the most urgent.
    int priority = 0;
    time_point arrived_at{};
    /// When the caller stops waiting, or the route's timeout ends.
    time_point give_up_at = never;
    /// Until then its answer is to begin.
    time_point objective_at = never;
    /// Tokens of its prompt; 0 when that is not known.
    std::uint32_t prompt_tokens = 0;
    /// The beginning of its prompt that other requests share.
    shared_prefix prefix;
    /// Workers that are not to be used: tried before.
    std::set<worker_id> excluded;
    /// Its answer is a stream, whose first byte shows that it has begun.
    bool streams = false;
    /// Another VM asks for room at that worker; the request itself is there.
    std::optional<worker_id> asked_for = std::nullopt;
    /// That VM knows of another worker where it would begin by then.
    time_point begins_elsewhere_at = never;
};

/// A copy of an adapter that a request may be sent to. Value.
struct granted_copy
{
    worker_id worker;
    /// 0 where that is not known.
    adapter_version version;
    friend bool operator==(granted_copy const&, granted_copy const&) = default;
};

/// What is believed of a copy of an adapter whose version is not the newest.
/// Value.
struct replaced_copy
{
    /// 0 where that is not known.
    adapter_version version;
    adapter_version newest;
    /// When this VM heard of the first newer version.
    time_point superseded_at{};
    time_point newest_learned_at{};
    friend bool operator==(replaced_copy const&,
                           replaced_copy const&) = default;
};

/// Send the request to the worker now.
struct place_request
{
    ticket_id ticket;
    worker_id worker;
    backend_entry entry;
    /// What decided it, for the log.
    std::string_view reason;
    /// The version of its adapter that it has to run on; 0 for any.
    adapter_version version;
    /// Another worker that may have the beginning of its prompt.
    std::optional<backend_entry> prefix_source = std::nullopt;
    /// Of the copy that it is sent to, where a newer version was declared.
    std::optional<replaced_copy> replaced = std::nullopt;
};

/// Ask the VM that gives the worker its orders to have the adapter there.
struct ask_owner
{
    ticket_id ticket;
    vm_id owner;
    worker_id worker;
    model_target target;
    int priority = 0;
    time_point give_up_at = never;
    /// Workers that the request may not be sent to.
    std::set<worker_id> excluded;
    std::uint32_t prompt_tokens = 0;
    shared_prefix prefix;
    time_point objective_at = never;
    /// When it would begin at the next best worker.
    time_point begins_elsewhere_at = never;
};

/// Tell the VM that asked that it may send the request now, to the worker that
/// it asked for or to another of this VM's.
struct grant_ask
{
    ticket_id ticket;
    granted_copy copy;
    double load = 0;
};

/// Answer the request that it was not run.
struct refuse_request
{
    ticket_id ticket;
    error_kind kind = error_kind::overloaded;
    duration retry_after{};
    std::string_view reason;
    /// Of the worker that another VM asked for: the share of its batch that is
    /// taken.
    double load = 1;
};

/// Take the request back from its worker: it has not begun, and may not begin
/// there any more.
struct withdraw_request
{
    ticket_id ticket;
};

/// Send the order now.
struct give_order
{
    worker_order order;
    backend_entry entry;
};

/// Ask the worker what it holds.
struct ask_report
{
    worker_id worker;
    backend_entry entry;
};

using placement_action =
    std::variant<place_request, ask_owner, grant_ask, refuse_request,
                 withdraw_request, give_order, ask_report>;

/// What became of a question to another VM.
enum class ask_outcome
{
    granted,
    /// The worker has no room, or this VM is not its owner.
    refused,
    unreachable,
    silent
};

/// This VM is the one that gives a worker orders.
struct order_grant
{
    fencing_number fence;
    time_point orders_from{};
    friend bool operator==(order_grant const&, order_grant const&) = default;
};

struct scheduler_settings
{
    vm_id vm;
    domain_id domain;
    /// Requests that may wait here at a time.
    std::size_t max_waiting = 512;
    /// How long an older copy may be used after a newer version was heard of.
    duration release_grace = std::chrono::milliseconds(2000);
    /// How long after that a request that was sent to one may begin.
    duration release_begin = std::chrono::milliseconds(7500);
};

/// Why a scheduler decided so, summed up for metrics. Value.
struct scheduler_counts
{
    std::uint64_t placed_resident = 0;
    std::uint64_t placed_after_load = 0;
    std::uint64_t placed_elsewhere = 0;
    std::uint64_t placed_granted = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t cold_loads = 0;
    std::uint64_t warm_loads = 0;
    std::uint64_t evictions = 0;
    /// Requests whose prompt another worker may have begun to read, by what was
    /// decided on copying it from there.
    std::array<std::uint64_t, all_copy_decisions.size()> prompt_copies{};
    std::size_t waiting = 0;
    std::size_t sent = 0;
    std::size_t asked = 0;
    friend bool operator==(scheduler_counts const&,
                           scheduler_counts const&) = default;
};

/// Events go in with the time, actions come out; no I/O, no clock. Thread
/// safety: none.
class service_scheduler
{
public:
    service_scheduler(scheduler_settings settings, service_config config);
    ~service_scheduler();
    service_scheduler(service_scheduler const&) = delete;
    service_scheduler& operator=(service_scheduler const&) = delete;

    void configure(service_config config);
    /// Every worker of the service that may be used now. One that is missing
    /// is gone.
    void set_backends(std::vector<backend_entry> const& entries);
    /// The workers that this VM gives orders to.
    void set_grants(std::map<worker_id, order_grant> const& grants);
    /// The other VMs that give orders to workers.
    void set_owners(std::map<worker_id, vm_id> owners);
    /// Another VM answered a question, or did not. Whether its grant is used;
    /// one that is not is to be given back.
    bool on_owner(ticket_id ticket, ask_outcome outcome,
                  granted_copy const& granted, time_point now);
    /// Another VM began to answer a question.
    void on_owner_heard(ticket_id ticket, time_point now);
    /// When a question to another VM is to be given up, as of now.
    time_point ask_ends_at(ticket_id ticket) const;
    /// As of when the registry is known, for all that follows.
    void set_registry_moment(registry_timestamps known_as_of)
    {
        known_as_of_ = known_as_of;
    }
    void set_members(std::size_t vms) { vms_ = std::max<std::size_t>(vms, 1); }
    /// `heard_at`: when this VM heard of the version.
    void on_release(model_target const& target, adapter_version version,
                    time_point heard_at);

    void submit(work_item item, time_point now);
    /// The caller is gone or has been answered. Does nothing once sent.
    void withdraw(ticket_id ticket, time_point now);
    /// The worker, in the life of that entry, said that it leaves. Whether this
    /// VM did not know it.
    bool on_leaving(backend_entry const& entry, time_point now);
    /// The worker wants no requests from this VM until then. True if it was not
    /// resting before.
    bool on_rest(worker_id const& worker, time_point until, time_point now)
    {
        return notices_.request_backoff(worker, until, now);
    }
    /// The worker began to answer.
    void first_byte(ticket_id ticket, time_point now);
    /// A request that was sent is over at its worker.
    void ended(ticket_id ticket, send_outcome outcome, time_point now);

    /// Whether what is believed of the worker changed. An outcome of an order
    /// to an earlier life of the worker is passed over.
    bool on_order(worker_order const& order, order_outcome outcome,
                  time_point now);
    void on_report(worker_id const& worker,
                   std::optional<worker_report> const& report, time_point now);

    /// Decides whatever can be decided now.
    std::vector<placement_action> run(time_point now);
    /// When run() may have something to do, if nothing happens before.
    time_point next_due() const;

    scheduler_counts counts() const;
    bool has_backends() const { return !workers_.empty(); }
    /// Until some worker with that model, or any, takes requests of this VM
    /// again; 0 while one does.
    duration rest_left(std::optional<model_target> const& target,
                       time_point now) const;
    /// How long a worker may leave a request without a first byte.
    duration first_byte_timeout(worker_id const& worker) const;

private:
    struct queue_key
    {
        int priority = 0;
        std::uint64_t number = 0;
        friend auto operator<=>(queue_key const&, queue_key const&) = default;
    };
    struct worker_state
    {
        /// Draining also where the worker itself said so.
        backend_entry entry;
        /// As the registry lists it.
        bool listed_draining = false;
        worker_health health;
        worker_adapters adapters;
        /// This VM gives it orders.
        bool owned = false;
        /// Requests of other VMs that were granted and are not over.
        std::size_t granted = 0;
        /// Requests that wait for room in its batch or for one of its adapter
        /// slots, as decided so far in this pass over the queue.
        std::size_t queued = 0;
        prefill_backlog reading;
        /// What its entry in the registry says of an earlier life, and until
        /// when it may say so; nothing once the entry is of this life.
        std::vector<held_model> held_before;
        time_point entry_lapses_at = never;

        worker_state(backend_entry listed, worker_adapters_settings settings)
            : entry(std::move(listed)), listed_draining(entry.draining),
              adapters(settings)
        {
        }
    };
    struct waiting_item
    {
        work_item item;
        /// The worker whose load of the adapter it waits for.
        worker_id loads_at;
        /// Owners that said no, for all their workers, and until when that
        /// counts.
        std::map<vm_id, time_point> said_no;
        /// When it is to be decided on again though nothing happened.
        time_point review_at = never;
    };
    struct asked_item
    {
        waiting_item waiting;
        queue_key key;
        vm_id owner;
        worker_id worker;
        time_point asked_at{};
        /// Its owner has begun to answer.
        bool heard = false;
    };
    struct sent_item
    {
        worker_id worker;
        time_point sent_at{};
        std::optional<model_target> target;
        bool counted_use = false;
        bool begun = false;
        /// Sent by another VM.
        bool by_peer = false;
        /// Of the life that it was sent to.
        worker_start started;
        std::uint32_t prompt_tokens = 0;
        /// When it was to begin, as of its sending.
        time_point expected_at{};
        bool streams = false;
        /// The version that it will begin on; 0 where that is not known.
        adapter_version copy;
        /// It is withdrawn if it has not begun by then.
        time_point begin_by = never;
    };
    enum class verdict
    {
        placed,
        waits,
        /// Another VM was asked.
        asked,
        hopeless
    };

    worker_state* find(worker_id const& worker);
    static void remember_listed(worker_state& worker);
    static void forget_life_before(worker_state& worker);
    void add_worker(backend_entry const& entry);
    void take_listed(worker_state& known, backend_entry const& entry);
    void begin_life(worker_state& known, backend_entry const& entry);
    void stop_waiting_at(worker_id const& worker);
    /// Notes that this VM sends a request to the worker now.
    void note_send(worker_state& worker, work_item const& item, sent_item sent,
                   time_point now);
    std::size_t limit_of(worker_state const& worker) const;
    /// Until a request that is sent to the worker now would begin.
    duration queue_delay(worker_state const& worker, time_point now) const;
    /// What a worker in another failure domain costs.
    duration domain_delay(worker_state const& worker) const;
    /// Until a slot for one more adapter is free.
    duration slot_delay(worker_state const& worker) const;
    /// Until an adapter that is not there has been loaded.
    duration load_delay(worker_state const& worker,
                        model_target const& target) const;
    /// Until a load that has begun is over.
    duration load_left(worker_state const& worker, model_target const& target,
                       time_point now) const;
    /// Until the request would begin there, and what that costs others.
    duration begin_delay(worker_state const& worker, work_item const& item,
                         worker_state const* prefix_home, time_point now) const;
    bool usable(worker_state const& worker, work_item const& item,
                time_point now) const;
    /// The worker asked this VM for rest, and it is not over.
    bool rests(worker_state const& worker, time_point now) const;
    bool accepts(worker_state const& worker, time_point now) const;
    bool rests_for(worker_state const& worker, work_item const& item,
                   time_point now) const;
    bool has_model(worker_state const& worker,
                   std::optional<model_target> const& target) const;
    std::optional<time_point> all_rest_until(work_item const& item,
                                             time_point now) const;
    /// Waits for the end of a rest that is near, or is to be refused.
    verdict wait_for_rest(waiting_item& waiting, time_point until,
                          time_point now);
    /// A worker of this VM that has the adapter and room.
    bool ready_at(worker_state const& worker, work_item const& item,
                  time_point now) const;
    bool sick(worker_state const& worker, time_point now) const;
    double load_of(worker_state const& worker) const;
    std::size_t taken(worker_state const& worker) const;
    bool holds(worker_state const& worker, model_target const& target,
               time_point now) const;
    adapter_version newest_of(model_target const& target) const;
    /// Of the copy at the worker, as far as is known; 0 where it is not.
    adapter_version believed_version(worker_state const& worker,
                                     model_target const& target) const;
    std::optional<replaced_copy>
    replaced(std::optional<model_target> const& target,
             adapter_version copy) const;
    adapter_version required_version(std::optional<model_target> const& target,
                                     adapter_version copy,
                                     time_point now) const;
    worker_state* best_holder(waiting_item const& waiting, time_point now);
    /// Until so many requests more have found one of the slots free.
    duration slot_wait(std::size_t ahead, std::size_t slots) const;
    bool goes_on_waiting(worker_state const& worker,
                         waiting_item const& waiting, time_point now) const;
    bool worth_waiting(worker_state const& worker, work_item const& item,
                       time_point now) const;
    /// Whether an owner that said no may say yes a moment later.
    bool may_ask_again(waiting_item const& waiting, time_point now) const;
    /// Whether some worker that it may go to has no owner now.
    bool owner_may_come(waiting_item const& waiting, time_point now) const;
    bool refused_by(worker_id const& worker, waiting_item const& waiting,
                    time_point now) const;
    /// Whether some VM can be asked for room at the worker.
    bool has_reachable_owner(worker_state const& worker, time_point now) const;
    /// Whether a request may be sent there without asking: the worker lists
    /// its adapter, and nobody can be asked.
    bool may_send_unasked(worker_state const& worker, work_item const& item,
                          time_point now) const;
    bool may_load_at(worker_state const& worker, waiting_item const& waiting,
                     time_point now) const;
    bool known_at(worker_state const& worker, model_target const& target,
                  time_point now) const;
    /// Where a request for an adapter would begin first, and where next.
    struct choice
    {
        worker_state* worker = nullptr;
        /// Sent there without asking its owner.
        bool unasked = false;
        duration delay = duration::max();
        /// At the next best worker of another VM.
        duration next_delay = duration::max();
    };
    /// Rank of a worker among those that requests with the same beginning of a
    /// prompt go to; nothing for one that they do not go to.
    std::optional<std::uint64_t> prefix_rank(work_item const& item,
                                             worker_state const& worker,
                                             time_point now) const;
    /// The holder of the request's adapter that requests with the same
    /// beginning of a prompt go to first; null if there is none.
    worker_state const* prefix_home(work_item const& item,
                                    time_point now) const;
    /// `named`: the version that the request names; 0 where it names none.
    std::optional<backend_entry> prefix_source(work_item const& item,
                                               worker_state const& on,
                                               adapter_version named,
                                               time_point now);
    worker_state const* home_beside(work_item const& item,
                                    worker_state const& on,
                                    adapter_version named,
                                    weights_version newest,
                                    time_point now) const;
    copy_decision judge_source(worker_state const& source,
                              worker_state const& reader,
                              model_target const& target, adapter_version named,
                              weights_version newest_weights,
                              time_point now) const;
    served_versions versions_at(worker_state const& worker,
                                model_target const& target) const;
    weights_version newest_weights(base_model_id const& model) const;
    duration weights_load_time(base_model_id const& model) const;
    bool shares_address(worker_state const& worker) const;
    bool waits_to_be_listed(worker_state const& worker, time_point now) const;
    choice best_place(waiting_item const& waiting, bool own_only,
                      worker_state const* except, time_point now);
    double average_taken() const;
    bool crowded(worker_state const& worker, bool asked_often,
                 time_point now) const;
    /// Asked for often by all that come to this VM's workers.
    bool hot(model_target const& target, time_point now) const;
    /// Goes on waiting for a load that has begun, or begins at a holder that is
    /// sooner; nothing if the request waits for no load.
    std::optional<verdict> go_on(waiting_item& waiting, time_point now);
    verdict use_holder(waiting_item& waiting, worker_state& holder,
                       time_point now);
    worker_state* own_holder(waiting_item const& waiting, time_point now);
    verdict decide_asked(waiting_item& waiting, time_point now);
    verdict wait_at(waiting_item& waiting, worker_state& worker,
                    time_point now);
    void ask(waiting_item& waiting, queue_key const& key, choice const& best,
             time_point now);
    verdict decide(waiting_item& waiting, queue_key const& key, time_point now);
    verdict decide_adapter(waiting_item& waiting, queue_key const& key,
                           time_point now);
    void spread_load(worker_state const& busy, waiting_item const& waiting,
                     time_point now);
    void place(waiting_item& waiting, worker_state& on, time_point now);
    void refuse(waiting_item const& waiting, error_kind kind,
                duration retry_after, std::string_view reason, time_point now);
    void refuse_hopeless(waiting_item const& waiting, time_point now);
    void leave_wait(waiting_item& waiting);
    duration expected_wait(std::size_t ahead, time_point now) const;
    bool too_late(waiting_item const& waiting, std::size_t ahead,
                  time_point now) const;
    /// A newer version than the request's was heard of then.
    void limit_begin(sent_item& sent, time_point heard_at);
    void withdraw_unbegun(time_point now);
    void run_queue(time_point now);
    void run_workers(time_point now);
    void want_model(worker_state& worker, time_point now);
    adapter_ref demand_key(model_target const& target) const;

    scheduler_settings settings_;
    service_config config_;
    std::map<worker_id, std::unique_ptr<worker_state>> workers_;
    std::map<queue_key, waiting_item> queue_;
    std::map<ticket_id, queue_key> waiting_;
    std::map<ticket_id, sent_item> sent_;
    std::map<ticket_id, asked_item> asked_;
    std::map<worker_id, vm_id> owners_;
    std::map<worker_id, order_grant> grants_;
    std::map<vm_id, worker_health> peers_;
    worker_notices notices_;
    adapter_version_history releases_;
    std::map<base_model_id, weights_version> declared_weights_;
    registry_timestamps known_as_of_;
    /// Of this VM's callers and of the VMs that ask it.
    adapter_demand demand_;
    adapter_locations sightings_;
    std::vector<placement_action> actions_;
    std::vector<time_point> weight_loads_;
    std::uint64_t last_number_ = 0;
    /// When run() was called last.
    time_point decided_at_{};
    /// The first moment by which a request that was sent has to begin.
    time_point begin_by_ = never;
    std::size_t vms_ = 1;
    prefill_rate pace_;
    duration mean_service_ = std::chrono::milliseconds(500);
    scheduler_counts counts_;
};

} // namespace mulberry

#endif
