// What must always hold while VMs die, freeze and leave: real processes, with
// traffic from callers, evictions and calls that may not be repeated going on.
#include "process_traffic.hpp"
#include "process_wait.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mulberry_test;

namespace
{

constexpr std::size_t some_answers = 60;
constexpr std::size_t all_workers = 4;

std::size_t workers_of(scenario& run, std::size_t vm)
{
    return run.world().status(vm)["workers"].size();
}

/// Whether these VMs own every worker between them.
bool own_all(scenario& run, std::vector<std::size_t> const& vms)
{
    std::size_t count = 0;
    for (std::size_t const vm : vms)
        count += workers_of(run, vm);
    return count == all_workers;
}

bool has_event(scenario& run, std::size_t asked, std::string const& kind)
{
    auto const events = run.world().timeline(asked);
    return std::any_of(events.begin(), events.end(),
                       [&](Json::Value const& event)
                       { return event["kind"].asString() == kind; });
}

/// Whether traffic goes on while one VM leaves, none of it is interrupted and
/// its process ends cleanly.
void check_leaving(scenario& run, std::size_t vm)
{
    CHECK(eventually([&] { return !run.world().ready(vm); }));
    CHECK(run.await_refusal_of_new_work(vm));
    run.send_traffic_to({0, 2});
    CHECK(run.world().vm(vm).process->wait_for_end() == 0);
    CHECK(eventually([&] { return own_all(run, {0, 2}); }));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

} // namespace

TEST_CASE("a killed VM's workers are taken over and nothing goes wrong", "[vm]")
{
    // Callers of the killed VM lose their connections, all others are answered
    // as before. The others see its lease lapse and take its workers; what it
    // had in flight is pinned, since nobody knows whether it has ended.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.kill_vm(1);
    run.send_traffic_to({0, 2});
    CHECK(eventually([&] { return own_all(run, {0, 2}); }));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(run.wait_for_unrepeatable_calls(5));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("two VMs killed one after the other leave one that serves", "[vm]")
{
    // The second dies as soon as it has taken over from the first, so that the
    // last one takes workers which had two owners a moment ago.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.kill_vm(1);
    run.send_traffic_to({0, 2});
    REQUIRE(eventually([&] { return own_all(run, {0, 2}); }));
    run.kill_vm(2);
    run.send_traffic_to({0});
    CHECK(eventually([&] { return own_all(run, {0}); }));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM frozen past its lease does no harm when it goes on", "[vm]")
{
    // Its lease lapses while it stands still with requests and orders under
    // way; others take its workers, load and evict. When it goes on, what it
    // still sends comes from an owner of the past. Its callers wait longer and
    // are answered truly.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.freeze_vm(1);
    run.send_traffic_to({0, 2});
    CHECK(eventually([&] { return own_all(run, {0, 2}); }));
    CHECK(run.wait_for_answers(some_answers));
    run.world().vm(1).process->thaw();
    CHECK(eventually([&] { return run.world().ready(1); }));
    run.send_traffic_to({0, 1, 2});
    CHECK(run.wait_for_answers(2 * some_answers));
    CHECK(run.wait_for_unrepeatable_calls(5));
    CHECK(has_event(run, 0, "lease-lapsed"));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM frozen twice does no harm", "[vm]")
{
    // The second freeze comes as soon as the VM serves again: the suspects of
    // its first life as an owner have only just been struck off.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    for (int time = 0; time < 2; ++time)
    {
        run.freeze_vm(1);
        run.send_traffic_to({0, 2});
        CHECK(eventually([&] { return own_all(run, {0, 2}); }));
        run.world().vm(1).process->thaw();
        CHECK(eventually([&] { return run.world().ready(1); }));
        run.send_traffic_to({0, 1, 2});
        CHECK(run.wait_for_answers(some_answers));
    }
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM drained by an operator interrupts nothing", "[vm]")
{
    // Callers of the VM get their whole answers, then `draining`. It hands its
    // workers over, ends what it has begun and its process ends with 0.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    CHECK(run.world().ctl({"drain", "entry-2"}).status == 0);
    check_leaving(run, 1);
}

TEST_CASE("a VM ended by SIGTERM interrupts nothing", "[vm]")
{
    // As when an operator drains it: the platform stops its processes so.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.world().vm(1).process->terminate();
    check_leaving(run, 1);
}

TEST_CASE("a VM that the platform lists as leaving interrupts nothing", "[vm]")
{
    // The notice comes late and by the list alone; the VM reads it itself.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.world().set_in_list("entry-2", "leaving");
    check_leaving(run, 1);
}

TEST_CASE("a long stream through a VM that leaves reaches its caller whole",
          "[vm]")
{
    // The stream takes some seconds, so that it is in progress while the VM
    // refuses new work and hands over. The VM waits for it before it ends.
    scenario run;
    run.world().control_engine(order("token_ms", 25));
    model_call call = run.call_to(1, run.world().adapters().front());
    call.streamed = true;
    call.tokens = 400;
    auto const stream = run.callers().send(call);
    REQUIRE(stream->wait_for("\"offset\":2"));
    run.world().vm(1).process->terminate();
    CHECK(run.await_refusal_of_new_work(1));
    CHECK(run.world().vm(1).process->running());
    CHECK(answered_whole(stream->wait()));
    CHECK(run.world().vm(1).process->wait_for_end() == 0);
    CHECK(to_string(run.finish()) == no_findings);
}
