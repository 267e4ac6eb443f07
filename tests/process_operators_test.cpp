// Operators and configuration on real processes: a confirmed configuration is
// in force on every VM and stays in force despite concurrent operators and
// failures.
#include "process_traffic.hpp"
#include "process_wait.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace mulberry_test;

namespace
{

constexpr std::size_t some_answers = 60;

/// Plans the declaration and returns the path of the plan's file.
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

TEST_CASE("of two concurrent confirms exactly one succeeds", "[operators]")
{
    // Both plans are based on the same version and differ. The refused confirm
    // changes nothing and its operator is told what has changed since the plan.
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

TEST_CASE("a confirm whose answer is lost takes effect once or not at all",
          "[operators]")
{
    // The table stores the new version, but its answer is lost. The VM reads
    // the table to learn the outcome, and the operator gets the true result.
    scenario run;
    run.start_traffic();
    std::uint64_t const before = version_on(run, 0);
    std::string const plan = write_plan(run, "lost");
    run.world().control_platform(order("lose_answers", 3));
    ctl_run const confirmed = run.world().ctl({"confirm", plan});
    INFO(confirmed.output << confirmed.errors);
    bool const in_force = confirmed.status == 0;
    CHECK((in_force || confirmed.status == 1 || confirmed.status == 5));
    CHECK(run.wait_for_answers(some_answers));
    std::uint64_t const after = version_on(run, 0);
    CHECK(after <= before + 1);
    if (in_force)
        CHECK(after == before + 1);
    for (std::size_t const vm : {1, 2})
        CHECK(eventually([&] { return version_on(run, vm) == after; }));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a confirmed configuration is in force on a VM that was frozen",
          "[operators]")
{
    // The VM is frozen while the others confirm a version. After it resumes,
    // the VM must not accept requests under the old version, since its
    // knowledge of the configuration is older than the bound.
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
    // A stale read of the table would return the previous version.
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

TEST_CASE("a stale list of VMs violates no guarantee", "[operators]")
{
    // A VM is killed and another of the same name is started; for a long time
    // the list shows neither change.
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
