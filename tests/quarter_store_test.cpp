// Checks the quarterly counts under table faults and VM crashes: nothing is
// counted twice, and counts are lost only if a process ended before writing
// them.
#include "quarter_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <ostream>
#include <vector>

using namespace mulberry;
using namespace mulberry::tests;
using namespace std::chrono_literals;

namespace
{

enum class fault_kind
{
    crash,
    reregister,
    refused,
    lagging_reads,
    down,
    cut_off,
    lost_answers,
    late_writes
};

struct fault
{
    fault_kind kind = fault_kind::crash;
    std::size_t vm = 0;
    std::chrono::seconds at{};
    std::chrono::seconds length{};
};

std::ostream& operator<<(std::ostream& out, fault const& one)
{
    return out << "fault " << static_cast<int>(one.kind) << " of VM " << one.vm
               << " at " << one.at.count() << " s for " << one.length.count()
               << " s\n";
}

using schedule = std::vector<fault>;

constexpr std::size_t vms = 3;
constexpr auto fault_phase = 60s;
/// Enough for the latest delayed write to take effect and for every row to be
/// read and folded.
constexpr auto recovery_time = 75s;
constexpr auto write_delay = 18s;

rc::Gen<schedule> any_schedule(std::vector<fault_kind> const& kinds)
{
    auto const span = [](int min_seconds, int max_seconds)
    {
        return rc::gen::map(rc::gen::inRange(min_seconds, max_seconds),
                            [](int count)
                            { return std::chrono::seconds(count); });
    };
    auto const one = rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::vm, rc::gen::inRange<std::size_t>(0, vms)),
        rc::gen::set(&fault::at, span(0, fault_phase.count())),
        rc::gen::set(&fault::length, span(1, 15)));
    return rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 9),
                           [one](std::size_t count) {
                               return rc::gen::container<schedule>(count, one);
                           });
}

std::vector<fault_kind> const unambiguous_faults{
    fault_kind::crash, fault_kind::reregister, fault_kind::refused,
    fault_kind::lagging_reads};
std::vector<fault_kind> const faults_without_reregistration{
    fault_kind::crash,      fault_kind::refused, fault_kind::lagging_reads,
    fault_kind::down,       fault_kind::cut_off, fault_kind::lost_answers,
    fault_kind::late_writes};
std::vector<fault_kind> const all_faults{
    fault_kind::crash,         fault_kind::reregister, fault_kind::refused,
    fault_kind::lagging_reads, fault_kind::down,       fault_kind::cut_off,
    fault_kind::lost_answers,  fault_kind::late_writes};

void apply_process_fault(quarter_world& world, fault const& one)
{
    if (one.kind == fault_kind::crash)
        world.crash(one.vm);
    if (one.kind == fault_kind::reregister)
        world.reregister(one.vm);
}

void set_faults(quarter_world& world, schedule const& faults,
                std::chrono::seconds at)
{
    auto const is_active = [&](fault_kind kind, std::size_t vm)
    {
        return std::any_of(faults.begin(), faults.end(),
                           [&](fault const& one)
                           {
                               return one.kind == kind && at >= one.at &&
                                      at < one.at + one.length &&
                                      (vm == vms || one.vm == vm);
                           });
    };
    fake_table& table = world.table();
    table.refuse(is_active(fault_kind::refused, vms));
    table.lag_reads(is_active(fault_kind::lagging_reads, vms) ? duration(20s)
                                                              : duration(0));
    table.set_down(is_active(fault_kind::down, vms));
    table.lose_answers(is_active(fault_kind::lost_answers, vms));
    table.delay_writes(is_active(fault_kind::late_writes, vms)
                           ? duration(write_delay)
                           : duration(0));
    for (std::size_t vm = 0; vm < vms; ++vm)
        table.set_reachable(vm_id("vm-" + std::to_string(vm)),
                            !is_active(fault_kind::cut_off, vm));
}

/// Runs the faults of the schedule, then recovers without faults.
void run_schedule(quarter_world& world, schedule const& faults)
{
    for (auto at = 0s; at < fault_phase; at += 1s)
    {
        set_faults(world, faults, at);
        if (at == fault_phase / 2)
            world.begin_quarter("2027-Q1");
        for (fault const& one : faults)
            if (one.at == at)
                apply_process_fault(world, one);
        for (std::size_t vm = 0; vm < vms; ++vm)
            world.count_answers(
                vm, (static_cast<std::uint64_t>(at.count()) + vm) % 3);
        world.run(1s);
    }
    set_faults(world, {}, fault_phase);
    world.run(recovery_time);
}

constexpr std::uint64_t max_seeds = 20;

/// Whether the mutant counts twice or loses counts for any of the seeds.
bool is_mutant_detected(store_mutant mutant, schedule const& faults)
{
    for (std::uint64_t seed = 1; seed <= max_seeds; ++seed)
    {
        quarter_world world(vms, seed, mutant);
        run_schedule(world, faults);
        if (world.stored() > world.counted() ||
            world.stored() + world.max_lost() < world.counted())
            return true;
    }
    return false;
}

/// The number of stored requests after ten were counted and the first write
/// was delayed.
std::uint64_t stored_after_late_create(store_mutant mutant)
{
    quarter_world world(2, 1, mutant);
    world.table().delay_writes(write_delay);
    world.count_answers(0, 10);
    world.run(2s);
    world.table().delay_writes(duration(0));
    world.run(8s);
    world.crash(0);
    world.run(recovery_time);
    return world.stored();
}

target_standing sole_standing(std::vector<target_standing> const& all)
{
    REQUIRE(all.size() == 1);
    return all.front();
}

} // namespace

TEST_CASE("no request is counted twice under any faults", "[quarter]")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            schedule const faults = *any_schedule(all_faults);
            quarter_world world(vms, seed, store_mutant::none);
            run_schedule(world, faults);
            RC_ASSERT(world.stored() <= world.counted());
        }));
}

TEST_CASE("only unwritten counts of crashed VMs are lost", "[quarter]")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            schedule const faults =
                *any_schedule(faults_without_reregistration);
            quarter_world world(vms, seed, store_mutant::none);
            run_schedule(world, faults);
            RC_ASSERT(world.stored() <= world.counted());
            RC_ASSERT(world.stored() + world.max_lost() >= world.counted());
            // All but one row for each VM and quarter were folded.
            RC_ASSERT(world.incarnation_rows() <= 2 * vms);
        }));
}

TEST_CASE(
    "a live incarnation considered ended loses nothing while answers arrive",
    "[quarter]")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            schedule const faults = *any_schedule(unambiguous_faults);
            quarter_world world(vms, seed, store_mutant::none);
            run_schedule(world, faults);
            RC_ASSERT(world.stored() <= world.counted());
            RC_ASSERT(world.stored() + world.max_lost() >= world.counted());
        }));
}

TEST_CASE("the checks detect folds without conditions", "[quarter]")
{
    // Guards against lost counts through concurrent folds: after two VMs crash
    // in turn, one VM folds both rows. Another VM with a stale read folds only
    // the first row and overwrites the sum with a smaller one.
    schedule const faults{{fault_kind::crash, 0, 20s, 1s},
                          {fault_kind::crash, 1, 24s, 1s},
                          {fault_kind::crash, 0, 31s, 1s},
                          {fault_kind::lagging_reads, 0, 15s, 30s}};
    CHECK_FALSE(is_mutant_detected(store_mutant::none, faults));
    CHECK(is_mutant_detected(store_mutant::unconditional_folds, faults));
}

TEST_CASE("the checks detect writes without conditions", "[quarter]")
{
    // Guards against double counts through a delayed write: the table delays a
    // write by 18 s, while its VM crashes and its row is folded. The write then
    // recreates the row, and the next fold counts the row again.
    schedule const faults{{fault_kind::late_writes, 0, 10s, 6s},
                          {fault_kind::crash, 0, 17s, 1s}};
    CHECK_FALSE(is_mutant_detected(store_mutant::none, faults));
    CHECK(is_mutant_detected(store_mutant::unconditional_writes, faults));
}

TEST_CASE("the checks detect creates that contain counts", "[quarter]")
{
    // Guards against double counts through a delayed create: a VM's first
    // write is delayed, its later writes are not, and the VM crashes and its
    // row is folded. The first write then takes effect, because the row does
    // not exist, and is folded too: ten requests become twenty.
    CHECK(stored_after_late_create(store_mutant::none) == 10);
    CHECK(stored_after_late_create(store_mutant::creates_with_counts) == 20);
}

TEST_CASE("the last counts of a quarter go into that quarter's row",
          "[quarter]")
{
    quarter_world world(1, 1, store_mutant::none);
    world.count_answers(0, 5);
    world.run(7s);
    world.count_answers(0, 2);
    world.begin_quarter("2027-Q1");
    world.count_answers(0, 4);
    world.run(15s);
    CHECK(world.stored("2026-Q4") == 7);
    CHECK(world.stored("2027-Q1") == 4);
    CHECK(sole_standing(world.store(0).standings(world.now())).counted == 4);
}

TEST_CASE("setting the clock across a quarter boundary loses no counts",
          "[quarter]")
{
    quarter_world world(1, 1, store_mutant::none);
    world.count_answers(0, 5);
    world.run(12s);
    world.begin_quarter("2027-Q1");
    world.count_answers(0, 1);
    world.run(12s);
    world.begin_quarter("2026-Q4");
    world.count_answers(0, 2);
    world.run(12s);
    CHECK(world.stored("2026-Q4") == 7);
    CHECK(world.stored("2027-Q1") == 1);
}

TEST_CASE("flush writes a leaving VM's counts immediately", "[quarter]")
{
    // Guards against lost counts at graceful shutdown: the VM's process ends as
    // soon as flushed() returns true, so everything must be in the table by
    // then.
    quarter_world world(1, 1, store_mutant::none);
    world.count_answers(0, 3);
    world.run(6s);
    world.count_answers(0, 4);
    world.table().lose_answers(true);
    world.flush(0);
    world.run(3s);
    CHECK_FALSE(world.store(0).flushed());
    world.table().lose_answers(false);
    world.run(2s);
    CHECK(world.store(0).flushed());
    CHECK(world.stored() == 7);
}

TEST_CASE("a restarted VM reports the totals of all VMs", "[quarter]")
{
    quarter_world world(2, 1, store_mutant::none);
    world.count_answers(0, 30);
    world.count_answers(1, 70);
    world.run(12s);
    world.crash(0);
    CHECK_FALSE(sole_standing(world.store(0).standings(world.now())).reached);
    world.run(25s);
    CHECK(sole_standing(world.store(0).standings(world.now())).counted == 100);
    CHECK(sole_standing(world.store(1).standings(world.now())).counted == 100);
}

TEST_CASE("a target met to date is at risk if its forecast misses it",
          "[quarter]")
{
    // After 1000 requests within the bound, one in four misses it: the share to
    // date still meets the target, but the forecast for the quarter does not.
    quarter_world world(1, 1, store_mutant::none);
    world.count_answers(0, 1000);
    world.run(12s);
    auto const first = sole_standing(world.store(0).standings(world.now()));
    CHECK(first.left == 100);
    CHECK(first.forecast == 1.0);
    CHECK_FALSE(first.at_risk);
    for (int at = 0; at < 60; ++at)
    {
        world.count_answers(0, 3);
        world.store(0).count_answer(
            notes, at % 2 == 0 ? std::optional(duration(900ms)) : std::nullopt);
        world.run(1s);
    }
    auto const second = sole_standing(world.store(0).standings(world.now()));
    CHECK(second.counted == 1240);
    CHECK(second.left == 124 - 60);
    CHECK(*second.reached > 0.95);
    CHECK(*second.forecast < 0.76);
    CHECK(second.at_risk);
    CHECK(world.store(0).at_risk(world.now()) ==
          std::vector<application_id>{notes});
}

TEST_CASE("a withdrawn request misses only the bounds that had passed",
          "[quarter]")
{
    quarter_world world(1, 1, store_mutant::none);
    world.count_answers(0, 8);
    world.store(0).count_withdrawn(notes, notes_bound - 1ms);
    world.store(0).count_withdrawn(notes, notes_bound + 1ms);
    world.run(12s);
    auto const standing = sole_standing(world.store(0).standings(world.now()));
    CHECK(standing.counted == 9);
    CHECK(*standing.reached == Approx(8.0 / 9));
    CHECK(world.stored() == 10);
}

TEST_CASE("stall share and batch efficiency have separate budgets", "[quarter]")
{
    id_source ids;
    quarter_store store({}, ids,
                        [](auto const&, incarnation) { return false; });
    store.configure(
        with_targets({{notes, target_measure::stall_share, {}, 0.1},
                      {notes, target_measure::batch_efficiency, {}, 0.5}}));
    time_point const start(1h);
    store.set_quarter("2026-Q4", start + 24h, start);
    store.set_incarnation(incarnation(1));
    action_list actions;
    store.tick(start, actions);
    REQUIRE(actions.size() == 1);
    store.on_table(
        {std::get<scan_rows>(actions[0]).operation, table_outcome::done, {}},
        start, actions);
    for (int count = 0; count < 100; ++count)
        store.count_answer(notes, 10ms);
    store.count_stalls(notes, 12);
    store.add_slot_time(notes, 80s, 100s);
    store.count_stalls(application_id("made up"), 5);
    auto const all = store.standings(start);
    REQUIRE(all.size() == 2);
    CHECK(all[0].counted == 100);
    CHECK(all[0].left == -2);
    CHECK(all[0].at_risk);
    CHECK(all[1].reached == 0.8);
    CHECK(all[1].left == 30);
    CHECK_FALSE(all[1].at_risk);
}
