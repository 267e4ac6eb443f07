/// Counts towards the quarterly targets, kept in the platform's table so that
/// they survive restarts, departures and table outages.
///
/// Each incarnation of a VM writes its running totals into its own row,
/// quarter/Q/VM/INCARNATION, so that a write repeated after a lost answer
/// counts nothing twice. One transaction folds the rows of ended incarnations
/// into quarter/Q/sum: the transaction adds their totals and deletes the rows.
/// Without folding, rows would accumulate at 2,200 restarts a day.
///
/// An incarnation that crashes loses at most what it counted since its last
/// write: one write interval, or the length of a table outage if that was
/// longer. An incarnation that another VM wrongly considers ended loses at most
/// what its one unanswered write held beyond the last answered write. Nothing
/// is counted twice.
///
/// Two targets can conflict: waiting for a full batch before an adapter load
/// either saves a stall and leaves batch slots empty, or the reverse. Stalls
/// take precedence where the deployment's stall_weight is 0.5 or more,
/// otherwise efficiency does; at_risk() names the applications that the policy
/// should prioritize.
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

/// Progress towards one target. Value.
struct target_standing
{
    target_declaration target;
    /// The measured share to date. Empty before the first request and before
    /// this process has read the other VMs' rows.
    std::optional<double> reached;
    /// Number of requests; for batch_efficiency, whole seconds of open batch
    /// slots.
    std::uint64_t counted = 0;
    /// Remaining error budget at the current count: how many more requests may
    /// miss the bound or stall, or for batch_efficiency how many more slot
    /// seconds may be idle, before the target is missed. Negative when the
    /// target is missed.
    std::int64_t left = 0;
    /// Projected share at the end of the quarter if the rates of the last hour
    /// continue.
    std::optional<double> forecast;
    /// Whether the forecast misses the target, or less than a tenth of the
    /// error budget is left.
    bool at_risk = false;
};

struct quarter_settings
{
    vm_id vm;
    duration write_interval = std::chrono::seconds(5);
    duration read_interval = std::chrono::seconds(10);
    duration table_timeout = std::chrono::milliseconds(1000);
    /// Delay before the next write after an unconfirmed write, also during a
    /// flush.
    duration retry_interval = std::chrono::milliseconds(250);
    /// Maximum number of rows folded by one transaction. At most one fold is
    /// started per read interval.
    std::size_t max_rows_per_fold = 16;
};

/// Thread safety: none; owned by the decision core.
class quarter_store
{
public:
    /// `incarnation_ended` returns whether an incarnation of a VM has certainly
    /// ended. `ids` must outlive this object.
    quarter_store(
        quarter_settings settings, id_source& ids,
        std::function<bool(vm_id const&, incarnation)> incarnation_ended);
    ~quarter_store();
    quarter_store(quarter_store const&) = delete;
    quarter_store& operator=(quarter_store const&) = delete;

    /// Sets the targets. Only applications with a target are counted, because
    /// application names come with requests and arbitrary names would otherwise
    /// make the row grow without limit.
    void configure(std::shared_ptr<declaration const> configuration);
    /// Sets the incarnation whose row receives later counts. Counts of an
    /// earlier incarnation go into its own row; counts from before the first
    /// incarnation go into the row of the first. An empty or unchanged
    /// incarnation is ignored.
    void set_incarnation(incarnation incarnation_number);
    /// Sets whether this VM folds rows of ended incarnations. One VM folds, to
    /// avoid transaction conflicts in the table; concurrent folding by several
    /// VMs is safe.
    void set_folding_enabled(bool folding_enabled);
    /// Sets the quarter's name (2026-Q4) and its end on this process's clock;
    /// the caller reads the calendar. Nothing is counted before the first call.
    void set_quarter(std::string name, time_point quarter_end, time_point now);

    /// Counts a request that was answered completely after `elapsed`, or,
    /// without `elapsed`, one that failed through no fault of the caller.
    void count_answer(application_id const& application,
                      std::optional<duration> elapsed);
    /// Counts a request whose caller disconnected after `waited`. The request
    /// counts as a request, because it may have stalled, and as a miss of each
    /// bound shorter than `waited`. The request does not count towards longer
    /// bounds, because its outcome for them is unknown.
    void count_withdrawn(application_id const& application, duration waited);
    void count_stalls(application_id const& application, std::uint64_t count);
    void add_slot_time(application_id const& application, duration busy,
                       duration open);

    /// Whether the table operation belongs to this store and awaits its reply.
    bool knows(operation_id operation) const;
    /// Handles the reply to an operation that knows() returns true for.
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    /// Starts the writes, the scan and the fold that are due.
    void tick(time_point now, action_list& actions);
    /// Writes all unwritten counts without waiting for the write interval, for
    /// a VM that leaves. Call repeatedly until flushed().
    void flush(time_point now, action_list& actions);
    /// Whether everything counted before the first flush() is written.
    bool flushed() const;

    /// The current quarter's name; empty before the first set_quarter().
    std::string const& quarter() const;
    /// One entry per target, in the order of the configuration. Empty before
    /// the first configure().
    std::vector<target_standing> standings(time_point now) const;
    /// The applications that have a target at risk.
    std::vector<application_id> at_risk(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
