// Guarantees that hold while the platform's table service is down, slow or
// loses answers, on real processes under traffic.
#include "process_traffic.hpp"
#include "process_wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <thread>

using namespace mulberry_test;

namespace
{

constexpr std::size_t some_answers = 60;
constexpr int lease_ms = 1500;
constexpr std::chrono::seconds promise_duration{4};

Json::Value table_down(bool down)
{
    Json::Value body = order("down", down);
    body["part"] = "table";
    return body;
}

bool continues_without_table(scenario& run, std::size_t vm)
{
    return run.world().status(vm)["going_on_without_table"].asBool();
}

/// The value of a gauge in the VM's /metrics, as text; empty if missing.
std::string gauge(scenario& run, std::size_t vm, std::string const& name)
{
    std::string const page = run.world().metrics(vm);
    auto const place = page.find("\nmulberry_" + name + "{");
    if (place == std::string::npos)
        return "";
    auto const value = page.find("} ", place) + 2;
    return page.substr(value, page.find('\n', value) - value);
}

/// Sleeps while an outage lasts or until a promise ends; no check depends on
/// the exact time.
void wait_for_span(std::chrono::milliseconds span)
{
    std::this_thread::sleep_for(span);
}

} // namespace

TEST_CASE("loaded adapters are served during an outage of several lease times",
          "[table]")
{
    // All VMs lose the table. The VMs promise each other not to help a confirm
    // and continue with the loaded adapters; no adapter is evicted. A call that
    // must not be repeated is refused with `ran: no`, since no claim can be
    // written.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    // A VM cannot continue without the table until its promise to help a
    // confirm has ended.
    wait_for_span(promise_duration);
    run.world().control_platform(table_down(true));
    for (std::size_t const vm : {0, 1, 2})
        CHECK(eventually([&] { return continues_without_table(run, vm); }));
    CHECK(eventually(
        [&] { return gauge(run, 0, "going_on_without_table") == "1"; }));
    CHECK(gauge(run, 0, "lease_holds") == "0");
    wait_for_span(std::chrono::milliseconds(3 * lease_ms));
    CHECK(run.wait_for_answers(some_answers));
    auto const once =
        run.callers().send(run.unrepeatable_call_to(0, "in-the-outage"));
    reported_error const refused = error_in(once->wait());
    CHECK(refused.kind == "platform_unavailable");
    CHECK(refused.ran == "no");
    run.world().control_platform(table_down(false));
    CHECK(run.wait_for_unrepeatable_calls(5));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("VMs continue through an outage right after the first confirm",
          "[table]")
{
    // The VMs have just promised to help the confirm of version 1, and version
    // 1 is in force on all VMs: no newer version can exist.
    scenario run;
    run.world().control_platform(table_down(true));
    for (std::size_t const vm : {0, 1, 2})
        CHECK(eventually([&] { return continues_without_table(run, vm); }));
    run.start_traffic();
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM that alone has lost the table stops accepting requests",
          "[table]")
{
    // The other VMs still reach the table and give the VM no promise, so the VM
    // cannot know whether its configuration is still in force. From the bound
    // on the VM refuses new requests, and the others take over its workers.
    // The VM serves again when its link is restored.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    Json::Value cut = order("link", "platform-2");
    cut["block"] = true;
    run.world().control_link(cut);
    CHECK(eventually([&] { return !run.world().ready(1); }));
    CHECK(gauge(run, 1, "takes_new_work") == "0");
    auto const seen =
        run.callers().send(run.call_to(1, run.world().adapters().front()));
    CHECK(error_in(seen->wait()).ran == "no");
    run.send_traffic_to({0, 2});
    CHECK(eventually(
        [&]
        {
            return run.world().status(0)["workers"].size() +
                       run.world().status(2)["workers"].size() ==
                   4;
        }));
    CHECK(run.wait_for_answers(some_answers));
    cut["block"] = false;
    run.world().control_link(cut);
    CHECK(eventually([&] { return run.world().ready(1); }));
    run.send_traffic_to({0, 1, 2});
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM killed during a table outage violates no guarantee", "[table]")
{
    // Two failures together: the killed VM's workers cannot be taken over
    // before the table is back. Requests for these workers fail with a correct
    // `ran`; all other requests are served.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.world().control_platform(table_down(true));
    CHECK(eventually([&] { return continues_without_table(run, 0); }));
    run.kill_vm(1);
    run.send_traffic_to({0, 2});
    CHECK(run.wait_for_answers(some_answers));
    run.world().control_platform(table_down(false));
    CHECK(eventually(
        [&]
        {
            return run.world().status(0)["workers"].size() +
                       run.world().status(2)["workers"].size() ==
                   4;
        }));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM that starts during a table outage is not ready", "[table]")
{
    // The VM cannot know the confirmed configuration, so the VM reports that it
    // is not ready and refuses requests until the table is back.
    scenario run;
    run.kill_vm(2);
    run.world().control_platform(table_down(true));
    run.world().start_vm(2);
    CHECK_FALSE(run.world().ready(2));
    auto const seen =
        run.callers().send(run.call_to(2, run.world().adapters().front()));
    CHECK(error_in(seen->wait()).ran == "no");
    run.world().control_platform(table_down(false));
    CHECK(eventually([&] { return run.world().ready(2); }));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a slow table delays orders and violates no guarantee", "[table]")
{
    // Every call to the table takes a third of the lease time.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.world().control_platform(order("slow_ms", lease_ms / 3));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(run.wait_for_unrepeatable_calls(2));
    run.world().control_platform(order("slow_ms", 0));
    CHECK(run.wait_for_unrepeatable_calls(2));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("answers lost after the write took effect violate no guarantee",
          "[table]")
{
    // Claims, takeovers and intents are written, but the answers are lost. The
    // writers read the table to learn the outcome by their own token.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    for (int round = 0; round < 5; ++round)
    {
        run.world().control_platform(order("lose_answers", 6));
        CHECK(run.wait_for_unrepeatable_calls(3));
    }
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}
