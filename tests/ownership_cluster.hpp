/// Ownership keepers of several VMs in virtual time round one fake table, the
/// faults that befall them, and the checks on what they believe.
#ifndef MULBERRY_TESTS_OWNERSHIP_CLUSTER_HPP
#define MULBERRY_TESTS_OWNERSHIP_CLUSTER_HPP

#include "fake_table.hpp"
#include "ownership_keeper.hpp"
#include "ownership_rules.hpp"
#include "virtual_time.hpp"
#include "vm_row.hpp"

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
    /// The process stands still, then goes on where it was.
    pause,
    /// The VM alone has lost the table.
    cut,
    /// The process ends; a new one starts at the same address.
    restart,
    /// The VM ends and drops out of the list; another one comes.
    replace,
    /// The VM leaves in good order; another one comes.
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
    /// Which VM, by the order in which they came; for faults of a VM.
    std::size_t vm = 0;
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
    /// One unload order at a VM for so many of its ticks; 0: none.
    std::uint64_t ticks_per_unload = 12;
    /// See ownership_settings.
    duration settle = std::chrono::milliseconds(0);
    /// How long after one VM the next one starts; 0: all at the same time.
    duration start_interval = std::chrono::milliseconds(0);
    owner_limits owners{};
    /// A VM registers when it knows the workers and the rows already.
    bool load_rows_first = false;
};

class ownership_cluster
{
public:
    ownership_cluster(cluster_options options, std::uint64_t seed,
                      ownership_rules const& rules);
    ~ownership_cluster();

    void add(ownership_fault const& fault);
    void run_for(duration length) { time_.run_until(time_.now() + length); }
    /// Adds a violation for all that is not well again.
    void check_recovery();

    std::vector<std::string> const& violations() const { return violations_; }
    fake_table& table() { return table_; }
    time_point now() const { return time_.now(); }
    /// The longest that a worker was without a VM that may give it orders,
    /// since the last call.
    duration take_longest_gap();
    std::size_t owned_by(std::size_t vm) const;
    /// How many VMs own workers.
    std::size_t owners() const;
    bool stands_by(std::size_t vm) const;
    std::size_t vms() const { return vms_.size(); }
    std::uint64_t count(std::string const& kind) const;
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void kill(std::size_t vm);
    void delist(std::size_t vm);
    void start(std::size_t vm);
    void leave(std::size_t vm);
    void undeclare(worker_id const& worker);
    std::size_t add_vm();
    vm_id id_of(std::size_t vm) const { return vms_[vm].id; }

private:
    /// One process of a VM, with a model of the dispatchers that it has.
    struct process
    {
        std::uint64_t number = 0;
        std::size_t vm = 0;
        id_source ids;
        std::unique_ptr<ownership_keeper> keeper;
        bool paused = false;
        std::deque<virtual_time::task> waiting;
        std::map<worker_id, fencing_number> owned;
        /// Ownerships under which it may still send.
        std::map<worker_id, std::set<fencing_number>> active;
        /// Workers whose suspects are not cleared yet, with the inherited
        /// intents that were said to be over meanwhile.
        std::map<worker_id, std::set<engine_name>> suspected;
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
    void forget_later(process_ptr const& by, worker_id const& worker,
                      engine_name const& name);
    void forget(process_ptr const& by, worker_id const& worker,
                engine_name const& name);

    void record_vm_row(table_row const& after);
    void check_row_write(std::optional<table_row> const& before,
                         table_row const& after);
    void check_leases();
    void measure_gaps();
    void check_earlier_owners_stopped(process const& owner,
                                      worker_id const& worker,
                                      std::string const& what);
    void check_worker(worker_id const& worker);
    void add_violation(std::string text);
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
    /// Intents that were recorded and not forgotten, by whose number.
    std::map<worker_id, std::map<engine_name, fencing_number>> open_intents_;
    std::map<vm_id, vm_row> vm_rows_;
    std::map<worker_id, time_point> without_owner_since_;
    duration longest_gap_{};
};

} // namespace mulberry::tests

#endif
