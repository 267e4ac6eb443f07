/// Simulates the ownership keepers of several VMs with one fake table in
/// virtual time, injects faults and checks the safety properties of ownership.
#ifndef MULBERRY_TESTS_OWNERSHIP_CLUSTER_HPP
#define MULBERRY_TESTS_OWNERSHIP_CLUSTER_HPP

#include "fake_table.hpp"
#include "ownership_keeper.hpp"
#include "ownership_rules.hpp"
#include "virtual_time.hpp"
#include "vm_row.hpp"
#include "worker_row.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberry::tests
{

enum class fault_kind
{
    /// The process stops running, then continues where it was.
    pause,
    /// This VM alone cannot reach the table.
    cut,
    /// The process ends; a new process starts at the same address.
    restart,
    /// The VM ends and leaves the platform's list; a new VM starts.
    replace,
    /// The VM leaves gracefully; a new VM starts.
    leave,
    table_down,
    lost_answers,
    late_writes,
    lagging_reads,
    refused
};

struct ownership_fault
{
    fault_kind kind;
    /// The VM's index in order of creation, taken modulo the number of VMs; for
    /// faults of one VM.
    std::size_t vm = 0;
    /// Start, counted from the call of ownership_cluster::add().
    duration at{};
    duration length{};
};

struct cluster_options
{
    std::size_t vms = 4;
    std::size_t workers = 6;
    duration heartbeat = std::chrono::milliseconds(800);
    duration lease = std::chrono::seconds(3);
    duration tick = std::chrono::milliseconds(200);
    /// A VM orders an unload once in this many of its ticks on average; 0:
    /// never.
    std::uint64_t ticks_per_unload = 12;
    /// See ownership_settings::settle.
    duration settle = std::chrono::milliseconds(0);
    /// Time between the starts of two VMs; 0: all start at the same time.
    duration start_interval = std::chrono::milliseconds(0);
    owner_limits owners{};
    /// A VM knows the workers and all rows before it registers.
    bool load_rows_first = false;
};

/// Thread safety: none.
class ownership_cluster
{
public:
    ownership_cluster(cluster_options options, std::uint64_t seed,
                      ownership_rules const& rules);
    ~ownership_cluster();

    /// Schedules a fault.
    void add(ownership_fault const& fault);
    /// Schedules a write of the row by another writer, `after` from now.
    void add_foreign_write(std::string const& key, std::string const& value,
                           duration after);
    void run_for(duration length) { time_.run_until(time_.now() + length); }
    /// Adds a violation for everything that has not recovered: a worker without
    /// exactly one owner, a VM with more than its share, suspects that were not
    /// cleared, an intent that was not settled.
    void check_recovery();

    std::vector<std::string> const& violations() const { return violations_; }
    fake_table& table() { return table_; }
    time_point now() const { return time_.now(); }
    /// The longest time since the last call for which a worker had no VM that
    /// may give it orders.
    duration take_longest_gap();
    /// How many workers the VM owns.
    std::size_t owned_by(std::size_t vm) const;
    /// How many VMs own workers.
    std::size_t owners() const;
    bool stands_by(std::size_t vm) const;
    std::size_t vms() const { return vms_.size(); }
    /// How many log events of this kind there were.
    std::uint64_t count(std::string const& kind) const;
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    /// Ends the VM's process at once.
    void kill(std::size_t vm);
    /// Removes the VM from the platform's list.
    void delist(std::size_t vm);
    void start(std::size_t vm);
    /// The VM leaves gracefully.
    void leave(std::size_t vm);
    /// Removes the worker from the configuration of all VMs.
    void undeclare(worker_id const& worker);
    /// Starts a new VM and returns its index.
    std::size_t add_vm();
    vm_id id_of(std::size_t vm) const { return vms_[vm].id; }

private:
    /// One process of a VM, with a model of its dispatchers.
    struct process
    {
        std::uint64_t number = 0;
        std::size_t vm = 0;
        id_source ids;
        std::unique_ptr<ownership_keeper> keeper;
        bool paused = false;
        /// Tasks that came due while the process was paused.
        std::deque<virtual_time::task> waiting;
        std::map<worker_id, fencing_number> owned;
        /// Fencing numbers under which the process may still send.
        std::map<worker_id, std::set<fencing_number>> active;
        /// Workers whose suspects are not cleared yet, with the inherited
        /// intents whose orders ended meanwhile.
        std::map<worker_id, std::set<engine_name>> suspected;
        /// Requested intents without a result, and when they were requested.
        std::map<order_id, std::pair<record_intent, time_point>> unsettled;
        bool closing = false;
    };
    struct machine
    {
        vm_id id;
        bool listed = true;
        std::shared_ptr<process> running;
    };
    using process_ptr = std::shared_ptr<process>;
    using keeper_call = std::function<void(ownership_keeper&, action_list&)>;

    void run_task(process_ptr const& on, virtual_time::task what);
    void run_later(process_ptr const& on, duration wait,
                   virtual_time::task what);
    void call(process_ptr const& on, keeper_call const& what);
    void execute(process_ptr const& on, action_list const& actions);
    void tick(process_ptr const& on);
    void deliver_vm_list(process_ptr const& on);
    void close_when_idle(process_ptr const& on);
    void request_random_unload(process_ptr const& on);

    void on_event(process_ptr const& by, worker_gained const& event);
    void on_event(process_ptr const& by, worker_lost const& event);
    void on_event(process_ptr const& by, suspects_cleared const& event);
    void on_event(process_ptr const& by, intent_settled const& event);
    void on_event(process_ptr const&, membership_changed const&) {}
    void release(process_ptr const& by, worker_id const& worker);
    /// Closes the intent; closes all of earlier owners if it is lost_intents.
    void close_intent(worker_id const& worker, engine_name const& name,
                      fencing_number owned);
    void forget_later(process_ptr const& by, worker_id const& worker,
                      engine_name const& name);
    void forget(process_ptr const& by, worker_id const& worker,
                engine_name const& name);

    void record_vm_row(table_row const& after);
    void check_row_write(table_row const& after);
    void check_leases();
    void measure_gaps();
    void check_earlier_owners_stopped(process const& owner,
                                      worker_id const& worker,
                                      std::string const& what);
    void check_worker(worker_id const& worker);
    void add_violation(std::string text);
    /// A random duration in [0, limit).
    duration random_below(duration limit);

    cluster_options options_;
    ownership_rules const& rules_;
    safeguards checks_;
    virtual_time time_;
    fake_table table_;
    std::mt19937_64 random_;
    std::vector<worker_id> workers_;
    std::vector<machine> vms_;
    std::uint64_t processes_ = 0;
    std::vector<std::string> violations_;
    std::map<std::string, std::uint64_t> events_;
    std::map<std::pair<worker_id, fencing_number>, std::uint64_t> owners_;
    /// Intents that were recorded and not removed, with the fencing number
    /// under which each was recorded.
    std::map<worker_id, std::map<engine_name, fencing_number>> open_intents_;
    std::map<vm_id, vm_row> vm_rows_;
    /// The last row that a VM wrote, by key; other writers' rows do not count.
    std::map<std::string, worker_row> worker_rows_;
    std::map<worker_id, time_point> without_owner_since_;
    duration longest_gap_{};
};

} // namespace mulberry::tests

#endif
