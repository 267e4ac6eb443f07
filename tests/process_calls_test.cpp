// Service calls that must not be repeated, on real processes: a call with one
// idempotency key runs at most once, and `ran: no` is correct.
#include "process_traffic.hpp"
#include "process_wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mulberry_test;

namespace
{

std::size_t runs_under(scenario& run, std::string const& key)
{
    auto const events = run.world().service_history();
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [&](Json::Value const& event)
                      { return event["key"].asString() == key; }));
}

Json::Value silent_services()
{
    Json::Value body = order("link", "services");
    body["silent"] = true;
    return body;
}

} // namespace

TEST_CASE("a call sent through all VMs concurrently runs once", "[calls]")
{
    // A caller whose answer is late sends the same key through all three VMs.
    // The service is slow, so the attempts overlap.
    scenario run;
    run.world().control_service(order("slow_ms", 300));
    for (int number = 0; number < 10; ++number)
    {
        std::vector<caller_registry::request_ptr> tries;
        std::string const key = fmt::format("permit-{}", number);
        for (std::size_t const vm : {0, 1, 2})
            tries.push_back(
                run.callers().send(run.unrepeatable_call_to(vm, key)));
        for (auto const& each : tries)
            each->wait();
        CHECK(runs_under(run, key) == 1);
    }
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a retry through another VM returns the stored answer", "[calls]")
{
    // The second VM reads the claim of the first VM, makes no call and returns
    // the stored answer.
    scenario run;
    auto const first =
        run.callers().send(run.unrepeatable_call_to(0, "slip"))->wait();
    auto const again =
        run.callers().send(run.unrepeatable_call_to(1, "slip"))->wait();
    CHECK(first.status == 200);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(again.headers.find("Idempotent-Replayed") == "true");
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a call whose answer is lost is reported as unknown and not repeated",
          "[calls]")
{
    // The service runs the call, but its answer is lost. The VM cannot know
    // whether the call ran, so no VM may repeat the call.
    scenario run;
    run.world().control_service(order("drop_after_run", 1));
    auto const first =
        run.callers().send(run.unrepeatable_call_to(0, "slip"))->wait();
    CHECK(error_in(first).kind == "outcome_unknown");
    CHECK(error_in(first).ran == "unknown");
    auto const again =
        run.callers().send(run.unrepeatable_call_to(1, "slip"))->wait();
    CHECK(again.status != 200);
    CHECK(error_in(again).ran != "no");
    CHECK(runs_under(run, "slip") == 1);
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("no call runs twice when all connections to a service go silent",
          "[calls]")
{
    // After the requests are written, a device on the path drops the state of
    // the connections: no further byte arrives on them, while new connections
    // work. Callers must learn by their deadlines that the outcome is unknown.
    scenario run;
    run.world().control_service(order("hold_run", true));
    std::vector<caller_registry::request_ptr> tries;
    for (std::size_t const vm : {0, 1, 2})
    {
        auto call = run.unrepeatable_call_to(vm, fmt::format("silent-{}", vm));
        call.deadline = std::chrono::milliseconds(4000);
        tries.push_back(run.callers().send(call));
    }
    REQUIRE(eventually(
        [&]
        {
            return run.world().status(0)["in_progress"].asUInt64() +
                       run.world().status(1)["in_progress"].asUInt64() +
                       run.world().status(2)["in_progress"].asUInt64() >=
                   3;
        }));
    run.world().control_link(silent_services());
    run.world().control_service(order("hold_run", false));
    for (auto const& each : tries)
        CHECK(error_in(each->wait()).ran == "unknown");
    for (std::size_t const vm : {0, 1, 2})
    {
        // New connections work; calls with the old keys are not repeated.
        std::string const key = fmt::format("silent-{}", vm);
        run.callers().send(run.unrepeatable_call_to((vm + 1) % 3, key))->wait();
        auto const other = run.unrepeatable_call_to(vm, key + "-new");
        CHECK(run.callers().send(other)->wait().status == 200);
    }
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a call runs once if its VM is killed after sending the call",
          "[calls]")
{
    // The VM that holds the claim is killed between call and answer. The caller
    // loses the connection and retries through another VM. That VM finds the
    // claim, cannot know whether the call ran, and reports the outcome as
    // unknown instead of calling.
    scenario run;
    run.world().control_service(order("hang_after_run", 1));
    auto const lost = run.callers().send(run.unrepeatable_call_to(1, "slip"));
    REQUIRE(eventually([&] { return runs_under(run, "slip") == 1; }));
    run.kill_vm(1);
    CHECK(lost->wait().failed);
    CHECK(eventually(
        [&]
        {
            auto const seen =
                run.callers().send(run.unrepeatable_call_to(0, "slip"))->wait();
            return error_in(seen).kind == "outcome_unknown";
        }));
    CHECK(runs_under(run, "slip") == 1);
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a call runs at most once if its VM is frozen during the call",
          "[calls]")
{
    // The VM that holds the claim is frozen past its lease while the service
    // runs the call. Neither retries through another VM in the meantime nor the
    // frozen VM's answer after it resumes may cause a second run.
    scenario run;
    run.world().control_service(order("hold_run", true));
    auto const held = run.callers().send(run.unrepeatable_call_to(1, "slip"));
    REQUIRE(eventually(
        [&] { return run.world().status(1)["in_progress"].asUInt64() > 0; }));
    run.freeze_vm(1);
    run.world().control_service(order("hold_run", false));
    for (int tries = 0; tries < 5; ++tries)
        run.callers().send(run.unrepeatable_call_to(0, "slip"))->wait();
    run.world().vm(1).process->thaw();
    held->wait();
    CHECK(runs_under(run, "slip") <= 1);
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a call that needs a key is refused without one and does not run",
          "[calls]")
{
    scenario run;
    auto const seen =
        run.callers().send(run.unrepeatable_call_to(0, ""))->wait();
    CHECK(seen.status == 400);
    CHECK(error_in(seen).kind == "key_required");
    CHECK(run.world().service_history().empty());
    CHECK(to_string(run.finish()) == no_findings);
}
