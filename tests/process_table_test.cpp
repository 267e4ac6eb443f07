// What must always hold while the platform's table service is down, slow or
// loses its answers: real processes under traffic.
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

/// A gauge of the VM's /metrics, as its text.
std::string gauge(scenario& run, std::size_t vm, std::string const& name)
{
    std::string const page = run.world().metrics(vm);
    auto const place = page.find("\nmulberry_" + name + "{");
    if (place == std::string::npos)
        return "";
    auto const value = page.find("} ", place) + 2;
    return page.substr(value, page.find('\n', value) - value);
}

/// Lets an outage last, or a promise end; nothing is asserted of the time.
void pass(std::chrono::milliseconds span)
{
    std::this_thread::sleep_for(span);
}

} // namespace

TEST_CASE("loaded adapters are served through an outage of several leases",
          "[table]")
{
    // Every VM loses the table. They promise each other not to help a confirm
    // and go on with what is loaded; nothing is evicted; a call that may not
    // be repeated is refused with `ran: no`, since no claim can be written.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    // A promise to help a confirm keeps a VM from going on until it has ended.
    pass(promise_duration);
    run.world().control_platform(table_down(true));
    for (std::size_t const vm : {0, 1, 2})
        CHECK(eventually([&] { return continues_without_table(run, vm); }));
    CHECK(eventually(
        [&] { return gauge(run, 0, "going_on_without_table") == "1"; }));
    CHECK(gauge(run, 0, "lease_holds") == "0");
    pass(std::chrono::milliseconds(3 * lease_ms));
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

TEST_CASE("an outage right after the first confirm is gone through", "[table]")
{
    // The VMs have promised to help the confirm of version 1 a moment ago, and
    // version 1 is in force on all: there is none that could have replaced it.
    scenario run;
    run.world().control_platform(table_down(true));
    for (std::size_t const vm : {0, 1, 2})
        CHECK(eventually([&] { return continues_without_table(run, vm); }));
    run.start_traffic();
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM that alone has lost the table stops taking work", "[table]")
{
    // Its peers keep the table and give it no promise, so it cannot know
    // whether its configuration still holds: it says so to new callers at the
    // bound. The others take its workers over. When its link is back it serves
    // again.
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

TEST_CASE("a VM killed in an outage of the table does no harm", "[table]")
{
    // Two failures together: its workers cannot be taken over before the table
    // is back, requests for them fail with a true `ran`, all others go on.
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

TEST_CASE("a VM that starts in an outage of the table is not ready", "[table]")
{
    // It cannot know what was confirmed: it says that it is not ready and
    // refuses work, and serves once the table is back.
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

TEST_CASE("a slow table delays orders and breaks nothing", "[table]")
{
    // Every call of the table takes a third of a lease.
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

TEST_CASE("answers lost after the write took effect do no harm", "[table]")
{
    // Claims, takeovers and intents are written and their answers lost; the
    // writers read back what became of them under their own token.
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
