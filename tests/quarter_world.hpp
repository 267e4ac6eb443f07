/// Simulation of several VMs that count into one table in virtual time, with
/// injected faults.
#ifndef MULBERRY_TESTS_QUARTER_WORLD_HPP
#define MULBERRY_TESTS_QUARTER_WORLD_HPP

#include "fake_table.hpp"
#include "quarter_row.hpp"
#include "quarter_store.hpp"
#include "virtual_time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberry::tests
{

inline application_id const notes("shift-notes");
inline constexpr duration notes_bound = std::chrono::milliseconds(800);

std::shared_ptr<declaration const>
with_targets(std::vector<target_declaration> targets);

/// A rule of the store that is disabled, to show that the checks detect its
/// absence.
enum class store_mutant
{
    none,
    unconditional_writes,
    unconditional_folds,
    creates_with_counts
};

class quarter_world
{
public:
    quarter_world(std::size_t vms, std::uint64_t seed, store_mutant mutant);

    void run(duration span) { time_.run_until(time_.now() + span); }
    void count_answers(std::size_t vm, std::uint64_t count);
    /// Ends the VM's process and starts the VM's next incarnation.
    void crash(std::size_t vm);
    /// Marks the VM's incarnation as ended for all VMs, while its process
    /// continues under a new incarnation.
    void reregister(std::size_t vm);
    void begin_quarter(std::string const& name);
    /// Makes the VM flush at each tick from now on, as a leaving VM does.
    void flush(std::size_t vm) { vms_.at(vm).leaving = true; }

    fake_table& table() { return table_; }
    quarter_store& store(std::size_t vm) { return *vms_.at(vm).store; }
    time_point now() const { return time_.now(); }
    std::uint64_t counted() const { return counted_; }
    /// Upper bound of the lost requests: those that crashed processes counted
    /// and whose writes were not acknowledged.
    std::uint64_t max_lost() const { return max_lost_; }
    /// Sum of the requests in all rows of a quarter, or of all quarters if
    /// `quarter` is empty.
    std::uint64_t stored(std::string const& quarter = "");
    /// Number of rows that are not folded.
    std::size_t incarnation_rows();

private:
    struct vm
    {
        vm_id id;
        incarnation incarnation_number;
        int process = 0;
        bool leaving = false;
        std::unique_ptr<id_source> ids;
        std::unique_ptr<quarter_store> store;
        /// Requests counted and acknowledged in this process, by row key.
        std::map<std::string, std::uint64_t> counted;
        std::map<std::string, std::uint64_t> acknowledged;
    };

    void start(vm& one);
    void tick();
    void perform(vm& one, action request);
    void mutate(vm const& one, transact& request) const;

    virtual_time time_;
    fake_table table_;
    store_mutant mutant_;
    std::string quarter_ = "2026-Q4";
    std::vector<vm> vms_;
    std::set<std::pair<vm_id, incarnation>> ended_incarnations_;
    std::uint64_t counted_ = 0;
    std::uint64_t max_lost_ = 0;
};

} // namespace mulberry::tests

#endif
