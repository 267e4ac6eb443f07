// One story each of a call that may not be repeated, told by hand.
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
    request_id submit_once(std::size_t vm, int key = 0, int body = 0)
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

/// A service_caller without any world round it.
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

TEST_CASE("requests that can never be made are refused at once")
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

// The caller's first VM answers and is killed; the caller, who lost the
// answer, asks another VM, which returns the kept one. The second answer is
// too large for the row and comes from the object store.
TEST_CASE("a retry through another VM replays the kept answer")
{
    caller_fixture fixture;
    for (int key : {0, 1})
    {
        request_id const first = fixture.submit_once(0, key);
        fixture.run_for(20);
        fixture.simulation.kill(0);
        request_id const again = fixture.submit_once(1, key);
        fixture.run_for(20);
        CHECK(fixture.answered(first));
        CHECK(fixture.replayed(again));
        CHECK(fixture.simulation.answer_to(first)->answer ==
              fixture.simulation.answer_to(again)->answer);
    }
    CHECK_FALSE(fixture.simulation.claim(1)->answer->object.empty());
    CHECK(fixture.runs() == 2);
    request_id const other = fixture.submit_once(1, 0, 7);
    fixture.run_for(20);
    CHECK(fixture.failed(other, error_kind::key_conflict, ran::no));
}

// Guards against an answer that its caller has while the claim still looks
// open: a retry through another VM would be told that the call goes on.
TEST_CASE("an answer is given once a retry elsewhere would find it")
{
    caller_fixture fixture;
    // The end of the claim is refused for rate at first and written later.
    fixture.simulation.table_faults({table_fault::none, table_fault::refused});
    request_id const first = fixture.submit_once(0);
    while (!fixture.answered(first) &&
           fixture.simulation.now() < time_point{} + 1000 * ms)
        fixture.run_for(1);
    REQUIRE(fixture.answered(first));
    request_id const again = fixture.submit_once(1);
    fixture.run_for(20);
    CHECK(fixture.replayed(again));
    CHECK(fixture.runs() == 1);
}

// Guards against an answer that is kept from its caller for as long as the
// table is away.
TEST_CASE("an answer does not wait long for a table that is away")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::none, table_fault::lost,
                                     table_fault::lost, table_fault::lost});
    request_id const first = fixture.submit_once(0);
    fixture.run_for(300);
    CHECK(fixture.answered(first));
}

// Guards against a call that ran being recorded as not run because its caller
// left while its end was being written.
TEST_CASE("a caller that leaves before its answer does not undo the record")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::none, table_fault::refused});
    request_id const first = fixture.submit_once(0);
    while (fixture.runs() == 0 &&
           fixture.simulation.now() < time_point{} + 1000 * ms)
        fixture.run_for(1);
    fixture.run_for(6);
    fixture.simulation.withdraw(first);
    fixture.run_for(500);
    CHECK(fixture.stage() == claim_stage::answered);
    request_id const again = fixture.submit_once(1);
    fixture.run_for(20);
    CHECK(fixture.replayed(again));
}

// The claim takes effect but the table's answer is lost. Sent again, the same
// transaction meets its own token, and the call is made once.
TEST_CASE("a claim whose answer was lost is recognised by its token")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::answer_lost});
    request_id const request = fixture.submit_once(0);
    fixture.run_for(1000);
    CHECK(fixture.answered(request));
    CHECK(fixture.runs() == 1);
}

// The table is silent until the deadline; the caller is told that nothing ran.
// A copy of the claim lands after that. It must not bar the key: it is turned
// into not_run, and the caller's next try runs.
TEST_CASE("a claim that lands after the caller was told is closed")
{
    caller_fixture fixture;
    fixture.simulation.table_faults(std::vector(8, table_fault::applied_late));
    request_id const request = fixture.submit_once(0);
    fixture.run_for(2050);
    CHECK(fixture.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(fixture.in_progress(0) == 1);
    CHECK(fixture.simulation.vm(0).counts().unwritten == 1);
    fixture.run_for(20000);
    CHECK(fixture.in_progress(0) == 0);
    CHECK(fixture.stage() == claim_stage::not_run);
    CHECK(fixture.runs() == 0);
    request_id const again = fixture.submit_once(1);
    fixture.run_for(50);
    CHECK(fixture.answered(again));
}

// The claim was never accepted, for rate: nothing can land, so nothing is left
// to write and a shutdown does not wait.
TEST_CASE("a claim refused for rate leaves nothing behind")
{
    caller_fixture fixture;
    fixture.simulation.table_faults(std::vector(500, table_fault::refused));
    request_id const request = fixture.submit_once(0);
    fixture.run_for(3500);
    CHECK(fixture.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(fixture.in_progress(0) == 0);
}

// Two VMs are asked at once: one calls, the other says that it goes on. The
// first dies before its answer, and the key's outcome is unknown for good.
TEST_CASE("a claim of a holder that died is never called again")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::silent_before_run});
    fixture.submit_once(0);
    fixture.run_for(20);
    request_id const meanwhile = fixture.submit_once(1);
    fixture.run_for(20);
    CHECK(fixture.failed(meanwhile, error_kind::in_progress, ran::unknown));
    fixture.simulation.kill(0);
    request_id const after = fixture.submit_once(1);
    fixture.run_for(20);
    CHECK(fixture.failed(after, error_kind::outcome_unknown, ran::unknown));
    CHECK(fixture.stage() == claim_stage::unknown);
    CHECK(fixture.simulation.calls_made() == 1);
}

// The connection goes silent after the request was written. The caller is told
// at its deadline that the outcome is unknown. The answer comes a second later
// and is kept, so that the next try learns the truth.
TEST_CASE("an answer after the deadline is kept for the next try")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::answers_late});
    request_id const request = fixture.submit_once(0);
    fixture.run_for(2050);
    CHECK(fixture.failed(request, error_kind::outcome_unknown, ran::unknown));
    CHECK(fixture.stage() == claim_stage::unknown);
    CHECK(fixture.in_progress(0) == 0);
    fixture.run_for(1500);
    CHECK(fixture.stage() == claim_stage::answered);
    request_id const again = fixture.submit_once(1);
    fixture.run_for(50);
    CHECK(fixture.replayed(again));
    CHECK(fixture.runs() == 1);
}

// The VM is paused right after its claim was recorded, for longer than the
// deadline, and taken for dead. When it wakes it makes no call.
TEST_CASE("a holder that wakes after its deadline does not call")
{
    caller_fixture fixture;
    fixture.run_for(1);
    request_id const request = fixture.submit_once(0);
    fixture.run_for(1);
    fixture.simulation.pause(0, 5000 * ms);
    fixture.run_for(1000);
    request_id const other = fixture.submit_once(1);
    fixture.run_for(500);
    CHECK(fixture.failed(other, error_kind::outcome_unknown, ran::unknown));
    fixture.run_for(4000);
    CHECK(fixture.failed(request, error_kind::deadline_passed, ran::no));
    CHECK(fixture.simulation.calls_made() == 0);
    // It knows that it never called, and frees the key.
    CHECK(fixture.stage() == claim_stage::not_run);
}

// The claim took effect unknown to its VM, which is paused and taken for dead:
// another caller is told that the outcome is unknown. Back before its deadline
// the VM makes no call, since that caller may have acted on what it was told.
TEST_CASE("a claim that another VM closed is not called")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::answer_lost});
    request_id const request = fixture.submit_once(0);
    fixture.run_for(2);
    fixture.simulation.pause(0, 1000 * ms);
    fixture.run_for(100);
    request_id const other = fixture.submit_once(1);
    fixture.run_for(1700);
    CHECK(fixture.failed(other, error_kind::outcome_unknown, ran::unknown));
    CHECK(fixture.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(fixture.simulation.calls_made() == 0);
    CHECK(fixture.stage() == claim_stage::not_run);
}

// The object store returns a part of a kept answer. No part is delivered; the
// caller is told that the call ran and may ask again.
TEST_CASE("a kept answer that is not whole is not delivered")
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

// Two workers refuse the connection: certainly not run, so a third is tried
// under the same claim. When all refuse, the key is free again.
TEST_CASE("a call that was not sent is tried elsewhere under one claim")
{
    caller_fixture fixture;
    fixture.simulation.call_faults(std::vector(2, call_fault::not_sent));
    request_id const request = fixture.submit_once(0);
    fixture.run_for(500);
    CHECK(fixture.answered(request));
    CHECK(fixture.simulation.calls_made() == 3);
    fixture.simulation.call_faults(std::vector(3, call_fault::not_sent));
    request_id const refused = fixture.submit_once(0, 1);
    fixture.run_for(500);
    CHECK(fixture.failed(refused, error_kind::back_end_unavailable, ran::no));
    CHECK(fixture.stage(1) == claim_stage::not_run);
}

// The caller goes away. Before the call nothing runs; after it the call goes
// on, a shutdown waits for it, and its result is kept.
TEST_CASE("a withdrawn call runs on only when it was sent")
{
    caller_fixture fixture;
    fixture.simulation.table_faults({table_fault::slow});
    request_id const early = fixture.submit_once(0, 0);
    fixture.run_for(100);
    fixture.simulation.withdraw(early);
    fixture.run_for(1000);
    CHECK(fixture.simulation.calls_made() == 0);
    CHECK(fixture.stage(0) == claim_stage::not_run);
    fixture.simulation.call_faults({call_fault::slow});
    request_id const sent = fixture.submit_once(0, 1);
    fixture.run_for(100);
    fixture.simulation.withdraw(sent);
    fixture.run_for(100);
    CHECK(fixture.in_progress(0) == 1);
    fixture.run_for(1000);
    CHECK(fixture.in_progress(0) == 0);
    CHECK(fixture.stage(1) == claim_stage::answered);
    CHECK(fixture.simulation.answer_to(sent) == nullptr);
}

// The table goes down after the claim. The answer is delivered at once and its
// end is written when the table is back; a shutdown waits for that.
TEST_CASE("an answer does not wait for the table")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::slow});
    request_id const request = fixture.submit_once(0);
    fixture.run_for(100);
    fixture.simulation.outage(8000 * ms);
    fixture.run_for(600);
    CHECK(fixture.answered(request));
    CHECK(fixture.in_progress(0) == 1);
    fixture.run_for(20000);
    CHECK(fixture.in_progress(0) == 0);
    CHECK(fixture.stage() == claim_stage::answered);
}

// The table is down and calls pile up. Each holds memory until its end is
// written, so beyond a bound new ones are refused before anything is claimed.
TEST_CASE("unwritten ends are bounded")
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

// A repeatable call's connection goes silent for good. Another worker is tried
// beside it well before the deadline, and its answer is the caller's.
TEST_CASE("a silent connection of a repeatable call is passed by")
{
    caller_fixture fixture;
    fixture.simulation.call_faults({call_fault::silent_after_run});
    request_id const request = fixture.simulation.submit(0, 0, 0, true);
    fixture.run_for(700);
    CHECK(fixture.answered(request));
    CHECK(fixture.simulation.calls_made() == 2);
}

// Repeatable calls that fail at every worker say `no` only when none was sent.
TEST_CASE("a repeatable call's last error is true")
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
