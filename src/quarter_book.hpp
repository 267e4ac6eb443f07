/// The quarter to date: what counts towards the quarterly targets, kept in the
/// platform's table through restarts, departures and outages.
///
/// Each life of a VM writes running totals of its own into one row,
/// quarter/Q/VM/LIFE, so that a write repeated after a lost answer counts
/// nothing twice. Rows of lives that are over are folded into quarter/Q/sum by
/// one transaction that adds the totals and deletes the row, so that rows do
/// not pile up at 2,200 restarts a day.
#ifndef MULBERRY_QUARTER_BOOK_HPP
#define MULBERRY_QUARTER_BOOK_HPP

#include "action.hpp"
#include "declaration.hpp"
#include "ids.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Totals of one application that only rise. Value.
struct quarter_counts
{
    std::uint64_t requests = 0;
    std::uint64_t stalled = 0;
    /// Answered whole within the bound, by the bound of each target.
    std::map<duration, std::uint64_t> within;
    duration busy_slot_time{};
    duration open_slot_time{};
    friend bool operator==(quarter_counts const&,
                           quarter_counts const&) = default;
};

/// Where one target stands. Value.
struct target_standing
{
    target_declaration target;
    /// What was measured so far; none before the first request.
    std::optional<double> reached;
    std::uint64_t counted = 0;
    /// How many more may miss (or stall) before the target is lost at the
    /// count so far; negative when it is lost.
    std::int64_t left = 0;
    /// The share at the quarter's end if the last hour's pace goes on.
    std::optional<double> forecast;
    bool at_risk = false;
};

struct quarter_settings
{
    vm_id vm;
    duration write_interval = std::chrono::seconds(5);
    duration read_interval = std::chrono::seconds(10);
    duration table_timeout = std::chrono::milliseconds(1000);
    std::uint64_t seed = 1;
};

/// Thread safety: none; owned by the decision core.
class quarter_book
{
public:
    /// `life_is_over` tells whether a life of a VM has ended for certain.
    quarter_book(quarter_settings settings, id_source& ids,
                 std::function<bool(vm_id const&, incarnation)> life_is_over);
    ~quarter_book();

    void configure(std::shared_ptr<declaration const> configuration);
    void set_life(incarnation life);
    /// The calendar comes from the shell: the quarter's name (2026-Q4), the
    /// moments of its begin and end on this process's clock.
    void set_quarter(std::string name, time_point begins, time_point ends,
                     time_point now);

    /// A request of an application was answered whole, after `took`; or
    /// failed through no fault of the caller (nothing for `took`).
    void count_answer(application_id const& application,
                      std::optional<duration> took);
    void count_stall(application_id const& application);
    void add_slot_time(application_id const& application, duration busy,
                       duration open);

    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void tick(time_point now, action_list& actions);
    /// Writes what is unwritten now, for a VM that leaves.
    void flush(time_point now, action_list& actions);
    bool flushed() const;

    std::string quarter() const;
    std::vector<target_standing> standings(time_point now) const;
    /// Applications with a target at risk, for the policy.
    std::vector<application_id> at_risk(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
