/// The quarter to date: what counts towards the quarterly targets, kept in the
/// platform's table through restarts, departures and outages.
///
/// Each life of a VM writes running totals of its own into one row,
/// quarter/Q/VM/LIFE, so that a write repeated after a lost answer counts
/// nothing twice. Rows of lives that are over are folded into quarter/Q/sum by
/// one transaction that adds the totals and deletes the row, so that rows do
/// not pile up at 2,200 restarts a day.
///
/// A life that crashes loses at most what it counted since its last write: one
/// write interval, or an outage of the table if that was longer. A life that
/// another VM wrongly takes to be over loses at most what its one unanswered
/// write held beyond the last answered one. Nothing is counted twice.
///
/// Two targets can conflict: a load avoided by waiting for a full batch is a
/// stall saved and slots left empty, or the reverse. Stalls go first where the
/// deployment's stall_weight is 0.5 or more, else efficiency; at_risk()
/// names the applications for the policy to spend effort on.
#ifndef MULBERRY_QUARTER_STORE_HPP
#define MULBERRY_QUARTER_STORE_HPP

#include "action.hpp"
#include "declaration.hpp"
#include "ids.hpp"
#include "quarter_counts.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Where one target stands. Value.
struct target_standing
{
    target_declaration target;
    /// What was measured so far; none before the first request, and before
    /// this process has read the other VMs' rows.
    std::optional<double> reached;
    /// Requests; for batch_efficiency whole seconds of open batch slots.
    std::uint64_t counted = 0;
    /// How many more may miss (or stall, or stand empty) before the target is
    /// lost at the count so far; negative when it is lost.
    std::int64_t left = 0;
    /// The share at the quarter's end if the last hour's pace goes on.
    std::optional<double> forecast;
    /// The forecast misses the target, or less than a tenth of the budget is
    /// left.
    bool at_risk = false;
};

struct quarter_settings
{
    vm_id vm;
    duration write_interval = std::chrono::seconds(5);
    duration read_interval = std::chrono::seconds(10);
    duration table_timeout = std::chrono::milliseconds(1000);
    /// After a write that was not answered, and between those of a flush.
    duration retry_interval = std::chrono::milliseconds(250);
    /// Rows folded by one transaction; there is one a read interval.
    std::size_t max_rows_per_fold = 16;
};

/// Thread safety: none; owned by the decision core.
class quarter_store
{
public:
    /// `incarnation_ended` tells whether a life of a VM has ended for certain.
    quarter_store(
        quarter_settings settings, id_source& ids,
        std::function<bool(vm_id const&, incarnation)> incarnation_ended);
    ~quarter_store();
    quarter_store(quarter_store const&) = delete;
    quarter_store& operator=(quarter_store const&) = delete;

    /// Only applications with a target are counted: the name comes with the
    /// request, and any name would otherwise make the row grow.
    void configure(std::shared_ptr<declaration const> configuration);
    /// The life that counts from now on; what was counted before goes into
    /// the row of the earlier one.
    void set_incarnation(incarnation incarnation_number);
    /// Whether this VM folds. One VM does, to save the table conflicts; two at
    /// once do no harm.
    void set_folding_enabled(bool folding_enabled);
    /// The calendar comes from the shell: the quarter's name (2026-Q4) and
    /// the moment of its end on this process's clock. Nothing is counted
    /// before the first call.
    void set_quarter(std::string name, time_point quarter_end, time_point now);

    /// A request of an application was answered whole, after `took`; or
    /// failed through no fault of the caller (nothing for `took`).
    void count_answer(application_id const& application,
                      std::optional<duration> took);
    /// The caller went away after that long. It counts as a request, since it
    /// may have stalled, and as a miss of each bound that was past already;
    /// what would have become of the others nobody knows.
    void count_withdrawn(application_id const& application, duration waited);
    void count_stalls(application_id const& application, std::uint64_t count);
    void add_slot_time(application_id const& application, duration busy,
                       duration open);

    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void tick(time_point now, action_list& actions);
    /// Writes what is unwritten now, for a VM that leaves; to be called until
    /// flushed().
    void flush(time_point now, action_list& actions);
    /// Whether all that was counted before the first flush() is written.
    bool flushed() const;

    std::string const& quarter() const;
    /// Empty before the first configuration.
    std::vector<target_standing> standings(time_point now) const;
    /// Applications with a target at risk, for the policy.
    std::vector<application_id> at_risk(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
