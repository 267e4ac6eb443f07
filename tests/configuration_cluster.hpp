/// Simulates the configuration keepers of several VMs in virtual time, with
/// fakes of the table, the object store and the messages between VMs, and
/// checks the history of their states and answers for violations.
#ifndef MULBERRY_TESTS_CONFIGURATION_CLUSTER_HPP
#define MULBERRY_TESTS_CONFIGURATION_CLUSTER_HPP

#include "configuration_keeper.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace mulberry::tests
{

enum class fault_kind
{
    confirm,
    cut_table,
    cut_table_of_all,
    pause,
    restart,
    isolate,
    slow_messages,
    lose_answers,
    delay_writes,
    corrupt_objects
};

struct fault
{
    fault_kind kind;
    std::size_t vm;
    time_point at;
    duration length;
};

/// Operations and results of a run.
struct cluster_counts
{
    std::size_t reads = 0;
    std::size_t messages = 0;
    std::size_t confirmed = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
};

class configuration_cluster
{
public:
    configuration_cluster(std::size_t vms, std::uint64_t seed,
                          promise_rules const& rules, safeguards const& checks,
                          configuration_settings settings = {});

    void add(fault const& planned);
    void run_until(time_point end);
    /// Invariants violated so far, each listed once.
    std::vector<std::string> const& violations() const { return violations_; }
    /// Adds violations that can be detected only at the end of the run.
    void check_history();
    /// Adds violations by VMs that do not know the newest version. To be called
    /// some time after all faults have ended.
    void check_recovery();

    configuration_keeper& keeper(std::size_t vm) { return *vms_[vm].keeper; }
    time_point now() const { return now_; }
    cluster_counts const& counts() const { return counts_; }
    /// The results of confirms, in the order in which they were reported.
    std::vector<confirm_settled> const& answers() const { return answers_; }
    config_version written() const { return config_version(history_.size()); }
    /// How many VMs know that their version is current.
    std::size_t count_knowing();
    /// How many VMs have this version in force.
    std::size_t count_at_version(config_version version);
    /// From now on no VM receives a configuration_hint.
    void drop_hints() { drops_hints_ = true; }

private:
    struct virtual_vm
    {
        vm_id id;
        incarnation incarnation_number;
        bool registered = false;
        std::unique_ptr<id_source> ids;
        std::unique_ptr<configuration_keeper> keeper;
        time_point paused_until{};
        time_point table_cut_until{};
        time_point isolated_until{};
        time_point slow_until{};
        time_point losing_answers_until{};
        time_point delaying_writes_until{};
        /// Highest version in force, over all incarnations.
        config_version highest;
    };
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(event const& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct row_state
    {
        row_version version;
        std::string value;
    };
    /// A confirm that an operator requested, and its result.
    struct requested_confirm
    {
        std::string digest;
        incarnation incarnation_number;
        std::size_t vm = 0;
        time_point answer_deadline;
        bool settled = false;
        bool refused = false;
    };
    using vm_action = std::function<void(virtual_vm&, action_list&)>;

    void at(time_point when, std::function<void()> run);
    void run_in_vm(std::size_t vm, incarnation incarnation_number,
                   vm_action const& what);
    void start_vm(std::size_t vm);
    void tick_vm(std::size_t vm, incarnation incarnation_number);
    void register_vm(std::size_t vm, incarnation incarnation_number);
    void begin_fault(fault const& what);
    void begin_confirm(std::size_t vm);
    void perform(std::size_t vm, action_list const& actions);
    void perform_transact(std::size_t vm, transact const& order);
    void perform_read(std::size_t vm, read_row const& order);
    void perform_fetch(std::size_t vm, fetch_object const& order);
    void perform_store(std::size_t vm, store_object const& order);
    void perform_send(std::size_t vm, send_peer_message const& order);
    void answer(std::size_t vm, incarnation incarnation_number,
                table_reply reply, time_point when);
    void answer(std::size_t vm, incarnation incarnation_number,
                object_reply reply, time_point when);
    table_reply apply(transact const& order);
    void on_settled(std::size_t vm, confirm_settled const& settled);
    void check_vm(std::size_t vm);
    void add_violation(std::string const& what);
    bool chance(unsigned percent);
    duration random_duration(duration min, duration max);
    bool reaches_table(std::size_t vm) const;

    std::mt19937_64 random_;
    configuration_settings const settings_;
    bool drops_hints_ = false;
    promise_rules const& rules_;
    safeguards const& checks_;
    std::vector<virtual_vm> vms_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    time_point now_{};

    std::map<std::string, std::vector<std::pair<time_point, row_state>>> rows_;
    std::uint64_t last_row_version_ = 0;
    std::map<std::string, std::string> objects_;
    time_point objects_corrupt_until_{};
    std::set<std::tuple<std::size_t, incarnation, operation_id>> answered_;

    /// Digests in the order of the versions written, from 1.
    std::vector<std::string> history_;
    std::map<std::uint64_t, requested_confirm> confirms_;
    std::uint64_t tickets_ = 0;
    std::map<config_version, time_point> acknowledged_;
    std::vector<confirm_settled> answers_;
    std::vector<std::string> violations_;
    cluster_counts counts_;
};

} // namespace mulberry::tests

#endif
