// Guarantees that hold while VMs are killed, freeze and leave, on real
// processes with callers' traffic, evictions and calls that must not be
// repeated.
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

/// Whether these VMs together own all workers.
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

/// Checks that traffic continues while the VM leaves, that no request is
/// interrupted and that the VM's process exits with 0.
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

TEST_CASE("a killed VM's workers are taken over and no guarantee is violated",
          "[vm]")
{
    // Callers of the killed VM lose their connections; all other callers are
    // served as before. After the killed VM's lease lapses the other VMs take
    // over its workers. Adapters of its requests in flight are pinned, since it
    // is unknown whether these requests have ended.
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

TEST_CASE("the last VM serves after two VMs are killed in succession", "[vm]")
{
    // The second VM is killed as soon as the workers of the first are taken
    // over, so the last VM takes over workers that had two recent owners.
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

TEST_CASE("a VM frozen past its lease violates no guarantee when it resumes",
          "[vm]")
{
    // The VM's lease lapses while the VM is frozen with requests and orders in
    // progress; other VMs take over its workers, load and evict adapters. After
    // resuming, the VM still sends requests as a previous owner. Its callers
    // wait longer and get correct answers.
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

TEST_CASE("a VM frozen twice violates no guarantee", "[vm]")
{
    // The second freeze comes as soon as the VM serves again, when the pins
    // that protect the requests of its first ownership have only just been
    // removed.
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
    // Callers of the VM get complete answers; later requests get `draining`.
    // The VM hands over its workers, completes its requests in progress and its
    // process exits with 0.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    CHECK(run.world().ctl({"drain", "entry-2"}).status == 0);
    check_leaving(run, 1);
}

TEST_CASE("a VM ended by SIGTERM interrupts nothing", "[vm]")
{
    // SIGTERM, with which the platform stops processes, has the same effect as
    // an operator's drain.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.world().vm(1).process->terminate();
    check_leaving(run, 1);
}

TEST_CASE("a VM that the platform lists as leaving interrupts nothing", "[vm]")
{
    // The VM is notified late and only by the list, which the VM reads itself.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    REQUIRE(run.wait_until_owner(1));
    run.world().set_in_list("entry-2", "leaving");
    check_leaving(run, 1);
}

TEST_CASE("a long stream through a VM that leaves is completed", "[vm]")
{
    // The stream takes some seconds, so the stream is in progress while the VM
    // refuses new requests and hands over its workers. The VM must wait for the
    // end of the stream before exiting.
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
