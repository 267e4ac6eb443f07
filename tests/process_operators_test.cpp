// Operators and their configuration on the real processes: what is confirmed
// is in force on every VM and stays, whoever races and whatever fails.
#include "process_traffic.hpp"
#include "process_wait.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace mulberry_test;

namespace
{

constexpr std::size_t some_answers = 60;

/// Plans into a file of its own.
std::string write_plan(scenario& run, std::string const& change)
{
    auto const declaration = run.world().write_declaration(change);
    std::string plan = declaration.string() + ".plan";
    REQUIRE(run.world().ctl({"plan", declaration, "--output", plan}).status ==
            0);
    return plan;
}

std::uint64_t version_on(scenario& run, std::size_t vm)
{
    return run.world().status(vm)["configuration"]["version"].asUInt64();
}

} // namespace

TEST_CASE("of operators who race exactly one has a plan confirmed",
          "[operators]")
{
    // Both plans were made on the same version and say different things. The
    // one that loses changes nothing and is told what changed since.
    scenario run;
    run.start_traffic();
    std::uint64_t const before = version_on(run, 0);
    std::string const one = write_plan(run, "one");
    std::string const other = write_plan(run, "other");
    auto const confirm = [&run](std::string const& plan) {
        return run.world().ctl({"confirm", plan});
    };
    auto racing = std::async(std::launch::async, confirm, one);
    ctl_run const second = confirm(other);
    ctl_run const first = racing.get();
    INFO(first.output << first.errors << second.output << second.errors);
    CHECK((first.status == 0) != (second.status == 0));
    ctl_run const& loser = first.status == 0 ? second : first;
    CHECK(loser.status == 1);
    CHECK((loser.output + loser.errors).find("changed since the plan") !=
          std::string::npos);
    CHECK((loser.output + loser.errors).find("changed since: ") !=
          std::string::npos);
    for (std::size_t const vm : {0, 1, 2})
        CHECK(eventually([&] { return version_on(run, vm) == before + 1; }));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a confirm whose answer is lost is in force once or not at all",
          "[operators]")
{
    // The table takes the new version and its answer is lost. The VM reads
    // back what became of it; the operator is told the truth.
    scenario run;
    run.start_traffic();
    std::uint64_t const before = version_on(run, 0);
    std::string const plan = write_plan(run, "lost");
    run.world().control_platform(order("lose_answers", 3));
    ctl_run const told = run.world().ctl({"confirm", plan});
    INFO(told.output << told.errors);
    bool const in_force = told.status == 0;
    CHECK((in_force || told.status == 1 || told.status == 5));
    CHECK(run.wait_for_answers(some_answers));
    std::uint64_t const after = version_on(run, 0);
    CHECK(after <= before + 1);
    if (in_force)
        CHECK(after == before + 1);
    for (std::size_t const vm : {1, 2})
        CHECK(eventually([&] { return version_on(run, vm) == after; }));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a confirmed configuration is in force on a VM that stood still",
          "[operators]")
{
    // The VM is frozen while a version is confirmed by the others. When it
    // goes on it may not take work under the old one: its knowledge is older
    // than the bound.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.freeze_vm(1);
    run.send_traffic_to({0, 2});
    std::uint64_t const before = version_on(run, 0);
    std::string const plan = write_plan(run, "meanwhile");
    CHECK(eventually(
        [&]
        {
            return run.world().ctl({"confirm", plan}).status == 0 ||
                   version_on(run, 0) > before;
        }));
    run.world().vm(1).process->thaw();
    for (std::size_t const vm : {0, 1, 2})
        CHECK(eventually([&] { return version_on(run, vm) == before + 1; }));
    run.send_traffic_to({0, 1, 2});
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM that starts has the confirmed configuration", "[operators]")
{
    // A lagging read of the table would hand it the version before.
    scenario run;
    std::uint64_t const before = version_on(run, 0);
    run.world().confirm(run.world().write_declaration("second"));
    run.world().control_platform(order("read_lag_ms", 60000));
    run.kill_vm(2);
    run.world().start_vm(2);
    CHECK(eventually([&] { return run.world().ready(2); }));
    CHECK(version_on(run, 2) == before + 1);
    run.world().control_platform(order("read_lag_ms", 0));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a late list of VMs breaks nothing", "[operators]")
{
    // A VM is killed and one of the same name started; for long the list says
    // of neither what holds.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.world().control_platform(order("list_lag_ms", 20000));
    run.send_traffic_to({0, 2});
    run.kill_vm(1);
    run.world().start_vm(1);
    CHECK(eventually([&] { return run.world().ready(1); }));
    run.send_traffic_to({0, 1, 2});
    CHECK(run.wait_for_answers(2 * some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}
