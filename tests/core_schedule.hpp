/// Schedules of faults for the simulation of the core, with readable output.
#ifndef MULBERRY_TESTS_CORE_SCHEDULE_HPP
#define MULBERRY_TESTS_CORE_SCHEDULE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace mulberry::tests
{

enum class core_fault : std::uint8_t
{
    kill,
    pause,
    drain,
    delist,
    table_down,
    table_cut,
    table_slow,
    lose_table_answers,
    late_writes,
    lag_reads,
    objects_down,
    engine_restart,
    engine_unreachable,
    failed_loads,
    slow_loads,
    lost_orders,
    silent_streams,
    cut_streams,
    wrong_echo,
    crossed_events,
    skipped_events,
    slow_network,
    lose_messages,
    silent_links,
    cut_links,
    service_silent,
    service_cut,
    service_refuses,
    confirm,
    racing_confirms
};

inline constexpr std::array<std::string_view, 30> core_fault_names{
    "kill",
    "pause",
    "drain",
    "delist",
    "table-down",
    "table-cut",
    "table-slow",
    "lose-table-answers",
    "late-writes",
    "lag-reads",
    "objects-down",
    "engine-restart",
    "engine-unreachable",
    "failed-loads",
    "slow-loads",
    "lost-orders",
    "silent-streams",
    "cut-streams",
    "wrong-echo",
    "crossed-events",
    "skipped-events",
    "slow-network",
    "lose-messages",
    "silent-links",
    "cut-links",
    "service-silent",
    "service-cut",
    "service-refuses",
    "confirm",
    "racing-confirms"};

/// One fault. Times count from the end of the warm-up.
struct core_step
{
    core_fault kind = core_fault::kill;
    int at_ms = 0;
    /// Index of the VM or worker that the fault affects, modulo their number.
    std::size_t which = 0;
    /// How long the fault lasts.
    int span_ms = 0;
};

struct core_schedule
{
    /// Seed of the traffic and of the random choices of the fakes.
    std::uint64_t seed = 1;
    std::vector<core_step> steps;
};

std::ostream& operator<<(std::ostream& out, core_schedule const& what);

} // namespace mulberry::tests

#endif
