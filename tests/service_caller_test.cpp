// Scenarios of single calls that must not be repeated, and of repeatable
// calls.
#include "service_simulation.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;

namespace
{

struct caller_fixture
{
    safeguards checks;
    service_simulation simulation{checks};

    time_point after(int duration_ms) const
    {
        return simulation.now() + duration_ms * ms;
    }
    void run_for(int duration_ms) { simulation.run_until(after(duration_ms)); }
    request_id submit_post(std::size_t vm, int key = 0, int body = 0)
    {
        return simulation.submit(vm, key, body, false);
    }
    std::size_t runs() const { return simulation.history().runs.size(); }
    bool answered(request_id const& request) const
    {
        auto const* const final = simulation.answer_to(request);
        return final != nullptr && final->answer;
    }
    bool replayed(request_id const& request) const
    {
        return answered(request) && simulation.answer_to(request)->replayed;
    }
    bool failed(request_id const& request, error_kind kind, ran what) const
    {
        auto const* const final = simulation.answer_to(request);
        return final != nullptr && final->what && final->what->kind() == kind &&
               final->what->request_ran() == what;
    }
    claim_stage stage(int key = 0) const
    {
        return simulation.claim(key).value().stage;
    }
    std::size_t in_progress(std::size_t vm)
    {
        return simulation.vm(vm).in_progress();
    }
};

/// A service_caller without a simulated platform.
struct isolated_caller
{
    safeguards checks;
    id_source ids;
    service_caller caller{
        {}, checks, ids, [](vm_id const&, incarnation) { return false; }};
    action_list actions;

    error_kind answer_to(service_request request)
    {
        request.id = request_id("r");
        request.service = service_id("recordsvc");
        request.method = "POST";
        actions.clear();
        caller.submit(std::move(request), time_point{}, actions);
        return std::get<deliver_error>(actions.at(0)).what.kind();
    }
};

} // namespace

TEST_CASE("requests that cannot be made are refused immediately")
{
    isolated_caller isolated;
    CHECK(isolated.answer_to({}) == error_kind::configuration_stale);
    declaration empty;
    isolated.caller.configure(std::make_shared<declaration const>(empty));
    CHECK(isolated.answer_to({}) == error_kind::unknown_service);
    declaration known;
    known.services[service_id("recordsvc")].id = service_id("recordsvc");
    isolated.caller.configure(std::make_shared<declaration const>(known));
    CHECK(isolated.answer_to({}) == error_kind::key_required);
    service_request late;
    late.deadline = time_point{};
    CHECK(isolated.answer_to(late) == error_kind::deadline_passed);
    service_request keyed;
    keyed.key = idempotency_key("k");
    CHECK(isolated.answer_to(keyed) == error_kind::platform_unavailable);
    CHECK(isolated.caller.in_progress() == 0);
}

// The first VM answers and is killed. The caller lost the answer and retries
// through another VM, which returns the stored answer. The second answer is
// too large for the row and comes from the object store.
TEST_CASE("a retry through another VM replays the stored answer")
{
    caller_fixture fixture;
    for (int key : {0, 1})
    {
        request_id const first = fixture.submit_post(0, key);
        fixture.run_for(20);
        fixture.simulation.kill(0);
        request_id const again = fixture.submit_post(1, key);
        fixture.run_for(20);
        CHECK(fixture.answered(first));
        CHECK(fixture.replayed(again));
        CHECK(fixture.simulation.answer_to(first)->answer ==
              fixture.simulation.answer_to(again)->answer);
    }
    CHECK_FALSE(fixture.simulation.claim(1)->answer->object.empty());
    CHECK(fixture.runs() == 2);
    request_id const other = fixture.submit_post(1, 0, 7);
    fixture.run_for(20);
    CHECK(fixture.failed(other, error_kind::key_conflict, ran::no));
}

// Guards against an answer that the caller has while the claim still looks
// open: a retry through another VM would be told that the call is in progress.
TEST_CASE("an answer is delivered once a retry through another VM finds it")
{
    caller_fixture fixture;
    // The write of the outcome is refused at first because of the rate limit
    // and repeated later.
    fixture.simulation.table_faults({table_fault::none, table_fault::refused});
    request_id const first = fixture.submit_post(0);
    while (!fixture.answered(first) &&
           fixture.simulation.now() < time_point{} + 1000 * ms)
        fixture.run_for(1);
    REQUIRE(fixture.answered(first));
    request_id const again = fixture.submit_post(1);
    fixture.run_for(20);
    CHECK(fixture.replayed(again));
    CHECK(fixture.runs() == 1);
}

// Guards against an answer that is withheld from its caller for as long as the
// table is unreachable.
TEST_CASE("an answer waits only briefly for an unreachable table")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::none, table_fault::lost,
                                     table_fault::lost, table_fault::lost});
    request_id const first = fixture.submit_post(0);
    fixture.run_for(300);
    CHECK(fixture.answered(first));
}

// Guards against recording a call that ran as not run because its caller
// disconnected while the outcome was being written.
TEST_CASE(
    "a caller that disconnects before its answer does not undo the record")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::none, table_fault::refused});
    request_id const first = fixture.submit_post(0);
    while (fixture.runs() == 0 &&
           fixture.simulation.now() < time_point{} + 1000 * ms)
        fixture.run_for(1);
    fixture.run_for(6);
    fixture.simulation.withdraw(first);
    fixture.run_for(500);
    CHECK(fixture.stage() == claim_stage::answered);
    request_id const again = fixture.submit_post(1);
    fixture.run_for(20);
    CHECK(fixture.replayed(again));
}

// The claim takes effect, but the answer of the table is lost. The repeated
// transaction finds its own token, and the call is made once.
TEST_CASE("a claim whose answer was lost is recognised by its token")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::answer_lost});
    request_id const request = fixture.submit_post(0);
    fixture.run_for(1000);
    CHECK(fixture.answered(request));
    CHECK(fixture.runs() == 1);
}

// Guards against a claim that blocks its key. The table does not respond until
// the deadline, and the caller is told that the call did not run. A copy of
// the claim takes effect after that. It is turned into not_run, and a retry of
// the caller runs.
TEST_CASE("a claim that takes effect after the caller got an error is closed")
{
    caller_fixture fixture;
    fixture.simulation.table_faults(std::vector(8, table_fault::applied_late));
    request_id const request = fixture.submit_post(0);
    fixture.run_for(2050);
    CHECK(fixture.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(fixture.in_progress(0) == 1);
    CHECK(fixture.simulation.vm(0).counts().unwritten == 1);
    fixture.run_for(20000);
    CHECK(fixture.in_progress(0) == 0);
    CHECK(fixture.stage() == claim_stage::not_run);
    CHECK(fixture.runs() == 0);
    request_id const again = fixture.submit_post(1);
    fixture.run_for(50);
    CHECK(fixture.answered(again));
}

// The claim is always refused because of the rate limit. No copy can take
// effect, so nothing remains to be written and a shutdown does not wait.
TEST_CASE("a claim refused by the rate limit leaves no work behind")
{
    caller_fixture fixture;
    fixture.simulation.table_faults(std::vector(500, table_fault::refused));
    request_id const request = fixture.submit_post(0);
    fixture.run_for(3500);
    CHECK(fixture.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(fixture.in_progress(0) == 0);
}

// Two VMs get the same request: one makes the call, the other reports that the
// call is in progress. The first VM dies before its answer, and the outcome of
// the key stays unknown.
TEST_CASE("a call claimed by a VM that died is never made again")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::silent_before_run});
    fixture.submit_post(0);
    fixture.run_for(20);
    request_id const meanwhile = fixture.submit_post(1);
    fixture.run_for(20);
    CHECK(fixture.failed(meanwhile, error_kind::in_progress, ran::unknown));
    fixture.simulation.kill(0);
    request_id const after = fixture.submit_post(1);
    fixture.run_for(20);
    CHECK(fixture.failed(after, error_kind::outcome_unknown, ran::unknown));
    CHECK(fixture.stage() == claim_stage::unknown);
    CHECK(fixture.simulation.calls_made() == 1);
}

// The connection stops responding after the request was written, and at the
// deadline the caller is told that the outcome is unknown. The answer arrives
// a second later and is stored for a retry of the caller.
TEST_CASE("an answer after the deadline is stored for the next try")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::answers_late});
    request_id const request = fixture.submit_post(0);
    fixture.run_for(2050);
    CHECK(fixture.failed(request, error_kind::outcome_unknown, ran::unknown));
    CHECK(fixture.stage() == claim_stage::unknown);
    CHECK(fixture.in_progress(0) == 0);
    fixture.run_for(1500);
    CHECK(fixture.stage() == claim_stage::answered);
    request_id const again = fixture.submit_post(1);
    fixture.run_for(50);
    CHECK(fixture.replayed(again));
    CHECK(fixture.runs() == 1);
}

// The VM is paused right after its claim was recorded, for longer than the
// deadline, and considered dead. After the pause it makes no call.
TEST_CASE("a claim holder that resumes after the deadline makes no call")
{
    caller_fixture fixture;
    fixture.run_for(1);
    request_id const request = fixture.submit_post(0);
    fixture.run_for(1);
    fixture.simulation.pause(0, 5000 * ms);
    fixture.run_for(1000);
    request_id const other = fixture.submit_post(1);
    fixture.run_for(500);
    CHECK(fixture.failed(other, error_kind::outcome_unknown, ran::unknown));
    fixture.run_for(4000);
    CHECK(fixture.failed(request, error_kind::deadline_passed, ran::no));
    CHECK(fixture.simulation.calls_made() == 0);
    // The VM knows that it made no call, and releases the key.
    CHECK(fixture.stage() == claim_stage::not_run);
}

// Guards against a call made after another VM reported its outcome as unknown.
// The claim takes effect without its VM learning so, and the VM is paused and
// considered dead. It resumes before its deadline and makes no call, since the
// other caller may have acted on the report.
TEST_CASE("no call is made under a claim that another VM closed")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::answer_lost});
    request_id const request = fixture.submit_post(0);
    fixture.run_for(2);
    fixture.simulation.pause(0, 1000 * ms);
    fixture.run_for(100);
    request_id const other = fixture.submit_post(1);
    fixture.run_for(1700);
    CHECK(fixture.failed(other, error_kind::outcome_unknown, ran::unknown));
    CHECK(fixture.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(fixture.simulation.calls_made() == 0);
    CHECK(fixture.stage() == claim_stage::not_run);
}

// The object store returns a truncated stored answer. No part of it is
// delivered; the caller is told that the call ran and may ask again.
TEST_CASE("a truncated stored answer is not delivered")
{
    safeguards const checks;
    broken_platform broken;
    broken.truncates_objects = true;
    service_simulation simulation(checks, broken);
    simulation.submit(0, 0, 0, false);
    simulation.submit(0, 1, 0, false);
    simulation.run_until(time_point{} + 100 * ms);
    request_id const again = simulation.submit(1, 1, 0, false);
    simulation.run_until(time_point{} + 2500 * ms);
    REQUIRE(simulation.answer_to(again) != nullptr);
    REQUIRE(simulation.answer_to(again)->what);
    CHECK(simulation.answer_to(again)->what->kind() ==
          error_kind::platform_unavailable);
    CHECK(simulation.answer_to(again)->what->request_ran() == ran::yes);
}

// Two workers refuse the connection, so the call certainly did not run and a
// third worker is tried under the same claim. When all refuse, the key is
// released.
TEST_CASE("a call that was not sent is tried elsewhere under the same claim")
{
    caller_fixture fixture;
    fixture.simulation.call_faults(std::vector(2, call_fault::not_sent));
    request_id const request = fixture.submit_post(0);
    fixture.run_for(500);
    CHECK(fixture.answered(request));
    CHECK(fixture.simulation.calls_made() == 3);
    fixture.simulation.call_faults(std::vector(3, call_fault::not_sent));
    request_id const refused = fixture.submit_post(0, 1);
    fixture.run_for(500);
    CHECK(fixture.failed(refused, error_kind::back_end_unavailable, ran::no));
    CHECK(fixture.stage(1) == claim_stage::not_run);
}

// The caller disconnects. Before the call is sent, nothing runs. After that
// the call continues, a shutdown waits for it, and its result is stored.
TEST_CASE("a withdrawn call continues only if it was sent")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::slow});
    request_id const early = fixture.submit_post(0, 0);
    fixture.run_for(100);
    fixture.simulation.withdraw(early);
    fixture.run_for(1000);
    CHECK(fixture.simulation.calls_made() == 0);
    CHECK(fixture.stage(0) == claim_stage::not_run);
    fixture.simulation.call_faults({call_fault::slow});
    request_id const sent = fixture.submit_post(0, 1);
    fixture.run_for(100);
    fixture.simulation.withdraw(sent);
    fixture.run_for(100);
    CHECK(fixture.in_progress(0) == 1);
    fixture.run_for(1000);
    CHECK(fixture.in_progress(0) == 0);
    CHECK(fixture.stage(1) == claim_stage::answered);
    CHECK(fixture.simulation.answer_to(sent) == nullptr);
}

// The table becomes unreachable after the claim. The answer is delivered
// without waiting for the table, and the outcome is written when the table is
// back; a shutdown waits for that.
TEST_CASE("an answer is delivered while the table is unreachable")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::slow});
    request_id const request = fixture.submit_post(0);
    fixture.run_for(100);
    fixture.simulation.outage(8000 * ms);
    fixture.run_for(600);
    CHECK(fixture.answered(request));
    CHECK(fixture.in_progress(0) == 1);
    fixture.run_for(20000);
    CHECK(fixture.in_progress(0) == 0);
    CHECK(fixture.stage() == claim_stage::answered);
}

// Guards against unbounded memory while the table is unreachable: each claim
// holds memory until its outcome is written. Beyond a limit new calls are
// refused before a claim is made.
TEST_CASE("the number of unwritten outcomes is bounded")
{
    safeguards const checks;
    service_settings settings = service_simulation::test_settings();
    settings.max_unwritten_claims = 5;
    service_simulation simulation(checks, {}, settings);
    simulation.outage(20000 * ms);
    for (int key = 0; key < 5; ++key)
        simulation.submit(0, key, 0, false);
    request_id const sixth = simulation.submit(0, 5, 0, false);
    simulation.run_until(time_point{} + 5 * ms);
    REQUIRE(simulation.answer_to(sixth) != nullptr);
    CHECK(simulation.answer_to(sixth)->what->kind() == error_kind::overloaded);
    simulation.run_until(time_point{} + 60000 * ms);
    CHECK(simulation.vm(0).in_progress() == 0);
}

// The connection of a repeatable call stops responding without an error. The
// call is also sent to another worker well before the deadline, and the answer
// of that worker is delivered.
TEST_CASE("a repeatable call on a dead connection is sent to another worker")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::silent_after_run});
    request_id const request = fixture.simulation.submit(0, 0, 0, true);
    fixture.run_for(700);
    CHECK(fixture.answered(request));
    CHECK(fixture.simulation.calls_made() == 2);
}

// The error of a repeatable call that fails at every worker says that the call
// did not run only if no try was sent.
TEST_CASE("the error of a repeatable call says whether it may have run")
{
    caller_fixture fixture;
    fixture.simulation.call_faults(std::vector(3, call_fault::not_sent));
    request_id const unsent = fixture.simulation.submit(0, 0, 0, true);
    fixture.run_for(1500);
    CHECK(fixture.failed(unsent, error_kind::back_end_unavailable, ran::no));
    fixture.simulation.call_faults({call_fault::cut_after_run,
                                    call_fault::not_sent,
                                    call_fault::not_sent});
    request_id const sent = fixture.simulation.submit(1, 0, 0, true);
    fixture.run_for(1500);
    CHECK(fixture.failed(sent, error_kind::back_end_unavailable, ran::unknown));
}
