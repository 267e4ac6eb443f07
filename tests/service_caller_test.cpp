// One story each of a call that may not be repeated, told by hand.
#include "service_world.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;

namespace
{

struct story
{
    safeguards checks;
    service_world world{checks};

    time_point in(int span_ms) const { return world.now() + span_ms * ms; }
    void pass(int span_ms) { world.run_until(in(span_ms)); }
    request_id post(std::size_t vm, int key = 0, int body = 0)
    {
        return world.submit(vm, key, body, false);
    }
    std::size_t runs() const { return world.history().runs.size(); }
    bool answered(request_id const& request) const
    {
        auto const* const final = world.answer_to(request);
        return final != nullptr && final->answer;
    }
    bool replayed(request_id const& request) const
    {
        return answered(request) && world.answer_to(request)->replayed;
    }
    bool failed(request_id const& request, error_kind kind, ran what) const
    {
        auto const* const final = world.answer_to(request);
        return final != nullptr && final->what && final->what->kind() == kind &&
               final->what->request_ran() == what;
    }
    claim_stage stage(int key = 0) const
    {
        return world.claim(key).value().stage;
    }
    std::size_t in_progress(std::size_t vm)
    {
        return world.vm(vm).in_progress();
    }
};

/// A service_caller without any world round it.
struct bare_caller
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
    bare_caller bare;
    CHECK(bare.answer_to({}) == error_kind::configuration_stale);
    declaration empty;
    bare.caller.configure(std::make_shared<declaration const>(empty));
    CHECK(bare.answer_to({}) == error_kind::unknown_service);
    declaration known;
    known.services[service_id("recordsvc")].id = service_id("recordsvc");
    bare.caller.configure(std::make_shared<declaration const>(known));
    CHECK(bare.answer_to({}) == error_kind::key_required);
    service_request late;
    late.deadline = time_point{};
    CHECK(bare.answer_to(late) == error_kind::deadline_passed);
    service_request keyed;
    keyed.key = idempotency_key("k");
    CHECK(bare.answer_to(keyed) == error_kind::platform_unavailable);
    CHECK(bare.caller.in_progress() == 0);
}

// The caller's first VM answers and is killed; the caller, who lost the
// answer, asks another VM, which returns the kept one. The second answer is
// too large for the row and comes from the object store.
TEST_CASE("a retry through another VM replays the kept answer")
{
    story told;
    for (int key : {0, 1})
    {
        request_id const first = told.post(0, key);
        told.pass(20);
        told.world.kill(0);
        request_id const again = told.post(1, key);
        told.pass(20);
        CHECK(told.answered(first));
        CHECK(told.replayed(again));
        CHECK(told.world.answer_to(first)->answer ==
              told.world.answer_to(again)->answer);
    }
    CHECK_FALSE(told.world.claim(1)->answer->object.empty());
    CHECK(told.runs() == 2);
    request_id const other = told.post(1, 0, 7);
    told.pass(20);
    CHECK(told.failed(other, error_kind::key_conflict, ran::no));
}

// Guards against an answer that its caller has while the claim still looks
// open: a retry through another VM would be told that the call goes on.
TEST_CASE("an answer is given once a retry elsewhere would find it")
{
    story told;
    // The end of the claim is refused for rate at first and written later.
    told.world.table_faults({table_fault::none, table_fault::refused});
    request_id const first = told.post(0);
    while (!told.answered(first) && told.world.now() < time_point{} + 1000 * ms)
        told.pass(1);
    REQUIRE(told.answered(first));
    request_id const again = told.post(1);
    told.pass(20);
    CHECK(told.replayed(again));
    CHECK(told.runs() == 1);
}

// Guards against an answer that is kept from its caller for as long as the
// table is away.
TEST_CASE("an answer does not wait long for a table that is away")
{
    story told;
    told.world.table_faults({table_fault::none, table_fault::lost,
                             table_fault::lost, table_fault::lost});
    request_id const first = told.post(0);
    told.pass(300);
    CHECK(told.answered(first));
}

// Guards against a call that ran being recorded as not run because its caller
// left while its end was being written.
TEST_CASE("a caller that leaves before its answer does not undo the record")
{
    story told;
    told.world.table_faults({table_fault::none, table_fault::refused});
    request_id const first = told.post(0);
    while (told.runs() == 0 && told.world.now() < time_point{} + 1000 * ms)
        told.pass(1);
    told.pass(6);
    told.world.withdraw(first);
    told.pass(500);
    CHECK(told.stage() == claim_stage::answered);
    request_id const again = told.post(1);
    told.pass(20);
    CHECK(told.replayed(again));
}

// The claim takes effect but the table's answer is lost. Sent again, the same
// transaction meets its own token, and the call is made once.
TEST_CASE("a claim whose answer was lost is recognised by its token")
{
    story told;
    told.world.table_faults({table_fault::answer_lost});
    request_id const request = told.post(0);
    told.pass(1000);
    CHECK(told.answered(request));
    CHECK(told.runs() == 1);
}

// The table is silent until the deadline; the caller is told that nothing ran.
// A copy of the claim lands after that. It must not bar the key: it is turned
// into not_run, and the caller's next try runs.
TEST_CASE("a claim that lands after the caller was told is closed")
{
    story told;
    told.world.table_faults(std::vector(8, table_fault::lands_late));
    request_id const request = told.post(0);
    told.pass(2050);
    CHECK(told.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(told.in_progress(0) == 1);
    CHECK(told.world.vm(0).counts().unwritten == 1);
    told.pass(20000);
    CHECK(told.in_progress(0) == 0);
    CHECK(told.stage() == claim_stage::not_run);
    CHECK(told.runs() == 0);
    request_id const again = told.post(1);
    told.pass(50);
    CHECK(told.answered(again));
}

// The claim was never accepted, for rate: nothing can land, so nothing is left
// to write and a shutdown does not wait.
TEST_CASE("a claim refused for rate leaves nothing behind")
{
    story told;
    told.world.table_faults(std::vector(500, table_fault::refused));
    request_id const request = told.post(0);
    told.pass(3500);
    CHECK(told.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(told.in_progress(0) == 0);
}

// Two VMs are asked at once: one calls, the other says that it goes on. The
// first dies before its answer, and the key's outcome is unknown for good.
TEST_CASE("a claim of a holder that died is never called again")
{
    story told;
    told.world.call_faults({call_fault::silent_before_run});
    told.post(0);
    told.pass(20);
    request_id const meanwhile = told.post(1);
    told.pass(20);
    CHECK(told.failed(meanwhile, error_kind::in_progress, ran::unknown));
    told.world.kill(0);
    request_id const after = told.post(1);
    told.pass(20);
    CHECK(told.failed(after, error_kind::outcome_unknown, ran::unknown));
    CHECK(told.stage() == claim_stage::unknown);
    CHECK(told.world.calls_made() == 1);
}

// The connection goes silent after the request was written. The caller is told
// at its deadline that the outcome is unknown. The answer comes a second later
// and is kept, so that the next try learns the truth.
TEST_CASE("an answer after the deadline is kept for the next try")
{
    story told;
    told.world.call_faults({call_fault::answers_late});
    request_id const request = told.post(0);
    told.pass(2050);
    CHECK(told.failed(request, error_kind::outcome_unknown, ran::unknown));
    CHECK(told.stage() == claim_stage::unknown);
    CHECK(told.in_progress(0) == 0);
    told.pass(1500);
    CHECK(told.stage() == claim_stage::answered);
    request_id const again = told.post(1);
    told.pass(50);
    CHECK(told.replayed(again));
    CHECK(told.runs() == 1);
}

// The VM is paused right after its claim was recorded, for longer than the
// deadline, and taken for dead. When it wakes it makes no call.
TEST_CASE("a holder that wakes after its deadline does not call")
{
    story told;
    told.pass(1);
    request_id const request = told.post(0);
    told.pass(1);
    told.world.pause(0, 5000 * ms);
    told.pass(1000);
    request_id const other = told.post(1);
    told.pass(500);
    CHECK(told.failed(other, error_kind::outcome_unknown, ran::unknown));
    told.pass(4000);
    CHECK(told.failed(request, error_kind::deadline_passed, ran::no));
    CHECK(told.world.calls_made() == 0);
    // It knows that it never called, and frees the key.
    CHECK(told.stage() == claim_stage::not_run);
}

// The claim took effect unknown to its VM, which is paused and taken for dead:
// another caller is told that the outcome is unknown. Back before its deadline
// the VM makes no call, since that caller may have acted on what it was told.
TEST_CASE("a claim that another VM closed is not called")
{
    story told;
    told.world.table_faults({table_fault::answer_lost});
    request_id const request = told.post(0);
    told.pass(2);
    told.world.pause(0, 1000 * ms);
    told.pass(100);
    request_id const other = told.post(1);
    told.pass(1700);
    CHECK(told.failed(other, error_kind::outcome_unknown, ran::unknown));
    CHECK(told.failed(request, error_kind::platform_unavailable, ran::no));
    CHECK(told.world.calls_made() == 0);
    CHECK(told.stage() == claim_stage::not_run);
}

// The object store returns a part of a kept answer. No part is delivered; the
// caller is told that the call ran and may ask again.
TEST_CASE("a kept answer that is not whole is not delivered")
{
    safeguards const checks;
    broken_platform broken;
    broken.truncates_objects = true;
    service_world world(checks, broken);
    world.submit(0, 0, 0, false);
    world.submit(0, 1, 0, false);
    world.run_until(time_point{} + 100 * ms);
    request_id const again = world.submit(1, 1, 0, false);
    world.run_until(time_point{} + 2500 * ms);
    REQUIRE(world.answer_to(again) != nullptr);
    REQUIRE(world.answer_to(again)->what);
    CHECK(world.answer_to(again)->what->kind() ==
          error_kind::platform_unavailable);
    CHECK(world.answer_to(again)->what->request_ran() == ran::yes);
}

// Two workers refuse the connection: certainly not run, so a third is tried
// under the same claim. When all refuse, the key is free again.
TEST_CASE("a call that was not sent is tried elsewhere under one claim")
{
    story told;
    told.world.call_faults(std::vector(2, call_fault::not_sent));
    request_id const request = told.post(0);
    told.pass(500);
    CHECK(told.answered(request));
    CHECK(told.world.calls_made() == 3);
    told.world.call_faults(std::vector(3, call_fault::not_sent));
    request_id const refused = told.post(0, 1);
    told.pass(500);
    CHECK(told.failed(refused, error_kind::back_end_unavailable, ran::no));
    CHECK(told.stage(1) == claim_stage::not_run);
}

// The caller goes away. Before the call nothing runs; after it the call goes
// on, a shutdown waits for it, and its result is kept.
TEST_CASE("a withdrawn call runs on only when it was sent")
{
    story told;
    told.world.table_faults({table_fault::slow});
    request_id const early = told.post(0, 0);
    told.pass(100);
    told.world.withdraw(early);
    told.pass(1000);
    CHECK(told.world.calls_made() == 0);
    CHECK(told.stage(0) == claim_stage::not_run);
    told.world.call_faults({call_fault::slow});
    request_id const sent = told.post(0, 1);
    told.pass(100);
    told.world.withdraw(sent);
    told.pass(100);
    CHECK(told.in_progress(0) == 1);
    told.pass(1000);
    CHECK(told.in_progress(0) == 0);
    CHECK(told.stage(1) == claim_stage::answered);
    CHECK(told.world.answer_to(sent) == nullptr);
}

// The table goes down after the claim. The answer is delivered at once and its
// end is written when the table is back; a shutdown waits for that.
TEST_CASE("an answer does not wait for the table")
{
    story told;
    told.world.call_faults({call_fault::slow});
    request_id const request = told.post(0);
    told.pass(100);
    told.world.outage(8000 * ms);
    told.pass(600);
    CHECK(told.answered(request));
    CHECK(told.in_progress(0) == 1);
    told.pass(20000);
    CHECK(told.in_progress(0) == 0);
    CHECK(told.stage() == claim_stage::answered);
}

// The table is down and calls pile up. Each holds memory until its end is
// written, so beyond a bound new ones are refused before anything is claimed.
TEST_CASE("unwritten ends are bounded")
{
    safeguards const checks;
    service_settings settings = service_world::small_settings();
    settings.max_unwritten = 5;
    service_world world(checks, {}, settings);
    world.outage(20000 * ms);
    for (int key = 0; key < 5; ++key)
        world.submit(0, key, 0, false);
    request_id const sixth = world.submit(0, 5, 0, false);
    world.run_until(time_point{} + 5 * ms);
    REQUIRE(world.answer_to(sixth) != nullptr);
    CHECK(world.answer_to(sixth)->what->kind() == error_kind::overloaded);
    world.run_until(time_point{} + 60000 * ms);
    CHECK(world.vm(0).in_progress() == 0);
}

// A repeatable call's connection goes silent for good. Another worker is tried
// beside it well before the deadline, and its answer is the caller's.
TEST_CASE("a silent connection of a repeatable call is passed by")
{
    story told;
    told.world.call_faults({call_fault::silent_after_run});
    request_id const request = told.world.submit(0, 0, 0, true);
    told.pass(700);
    CHECK(told.answered(request));
    CHECK(told.world.calls_made() == 2);
}

// Repeatable calls that fail at every worker say `no` only when none was sent.
TEST_CASE("a repeatable call's last error is true")
{
    story told;
    told.world.call_faults(std::vector(3, call_fault::not_sent));
    request_id const unsent = told.world.submit(0, 0, 0, true);
    told.pass(1500);
    CHECK(told.failed(unsent, error_kind::back_end_unavailable, ran::no));
    told.world.call_faults({call_fault::cut_after_run, call_fault::not_sent,
                            call_fault::not_sent});
    request_id const sent = told.world.submit(1, 0, 0, true);
    told.pass(1500);
    CHECK(told.failed(sent, error_kind::back_end_unavailable, ran::unknown));
}
