#include "dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;
using tests::named;
using fixture = tests::dispatcher_fixture;

TEST_CASE("nothing is loaded before the first report", "[dispatcher]")
{
    fixture test;
    test.submit("r1", "a");
    CHECK(test.actions_of<load_adapter>().empty());
    test.report({});
    REQUIRE(test.actions_of<load_adapter>().size() == 1);
    CHECK(test.last_action<load_adapter>().name == named("a@1#5"));
    test.now += 300ms;
    test.order(test.last_action<load_adapter>().order,
               order_result::outcome::done);
    CHECK(test.last_action<start_attempt>().name == named("a@1#5"));
    CHECK(test.dispatcher->counts(test.now).stalled == 1);
    CHECK(test.dispatcher->counts(test.now).stall_time == 300ms);
}

TEST_CASE("an adapter of an earlier owner serves under its loaded name",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#3"), 0}});
    test.submit("r1", "a");
    CHECK(test.last_action<start_attempt>().name == named("a@1#3"));
    CHECK(test.dispatcher->counts(test.now).stalled == 0);
}

TEST_CASE("requests that cannot be served are answered at once", "[dispatcher]")
{
    fixture test;
    test.submit("late", "a", 0s);
    CHECK(test.last_action<deliver_error>().what.kind() ==
          error_kind::deadline_passed);
    test.submit("r1", "a", 30s, 5);
    test.submit("r2", "a", 30s, 3);

    SECTION("the queue is full")
    {
        test.submit("r3", "a", 30s, 3);
        CHECK(test.last_action<deliver_error>().request == request_id("r3"));
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::overloaded);
        CHECK(test.last_action<deliver_error>().what.retry_after());
    }
    SECTION("a request of higher priority displaces one of the lowest")
    {
        test.submit("r3", "a", 30s, 9);
        CHECK(test.last_action<deliver_error>().request == request_id("r2"));
        CHECK(test.last_action<deliver_error>().what.request_ran() == ran::no);
        CHECK(test.dispatcher->knows(request_id("r3")));
    }
    SECTION("the load failed")
    {
        test.report({});
        test.order(test.last_action<load_adapter>().order,
                   order_result::outcome::refused, 503, "load_failed");
        CHECK(test.actions_of<deliver_error>().size() == 3);
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::load_failed);
        CHECK(test.dispatcher->in_progress() == 0);
    }
    SECTION("ownership of the worker ends")
    {
        test.dispatcher->stop_admitting(test.now, test.actions);
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::not_owner);
        CHECK(test.dispatcher->in_progress() == 0);
        test.submit("r3", "a");
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::not_owner);
    }
}

TEST_CASE("a request is refused if its expected wait passes its deadline",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.submit("r1", "a");
    test.now += 4s;
    test.end(test.last_action<start_attempt>());
    test.finish(test.last_action<start_attempt>(), 0);
    test.submit("r2", "a");
    test.submit("r3", "a");
    test.submit("r4", "a", 1s);
    CHECK(test.last_action<deliver_error>().request == request_id("r4"));
    CHECK(test.last_action<deliver_error>().what.kind() ==
          error_kind::overloaded);
    CHECK(test.last_action<deliver_error>().what.retry_after() == 2s);
}

// Failure: a connection goes silent for good. The stream is resumed at the next
// event, so that the caller sees only a short pause in the same answer.
TEST_CASE("a silent stream is resumed at the next offset", "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.submit("r1", "a");
    test.chunk(test.last_action<start_attempt>(), 0);
    test.advance(1s);
    CHECK(test.actions_of<start_attempt>().size() == 1);
    test.advance(1s);
    REQUIRE(test.actions_of<start_attempt>().size() == 2);
    CHECK(test.last_action<start_attempt>().resume);
    CHECK(test.last_action<start_attempt>().offset == 1);
    CHECK_FALSE(test.last_action<cancel_attempt>().stop_at_engine);
    test.finish(test.last_action<start_attempt>(), 1);
    CHECK(test.actions_of<deliver_event>().size() == 2);
    CHECK(test.actions_of<deliver_end>().size() == 1);
    CHECK(test.dispatcher->in_progress() == 0);
}

// Failure: the last event is lost, but the end-of-stream mark arrives. The
// caller must get the rest of the answer or an error, never a truncated answer
// as complete.
TEST_CASE("a stream that ends without its last event is resumed",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.submit("r1", "a");
    test.chunk(test.last_action<start_attempt>(), 0);
    test.end(test.last_action<start_attempt>());
    CHECK(test.actions_of<deliver_end>().empty());
    REQUIRE(test.last_action<start_attempt>().resume);
    CHECK(test.last_action<start_attempt>().offset == 1);
    bool const had = GENERATE(true, false);
    if (had)
        test.finish(test.last_action<start_attempt>(), 1);
    else
        test.fail(test.last_action<start_attempt>(), failure_stage::refused,
                  404);
    CHECK(test.actions_of<deliver_end>().size() == (had ? 1 : 0));
    CHECK(test.actions_of<deliver_error>().size() == (had ? 0 : 1));
    if (!had)
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::answer_cut);
}

// Failure: the engine restarts and refuses the resume as unknown. Before the
// first event, sending the request again still gives one complete answer; after
// the first event, the request fails.
TEST_CASE(
    "a request unknown to the engine is sent again unless its answer has begun",
    "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.submit("r1", "a");
    bool const begun = GENERATE(false, true);
    if (begun)
        test.chunk(test.last_action<start_attempt>(), 0);
    test.fail(test.last_action<start_attempt>(), failure_stage::sent);
    REQUIRE(test.last_action<start_attempt>().resume);
    test.fail(test.last_action<start_attempt>(), failure_stage::refused, 404);
    if (begun)
    {
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::answer_cut);
        CHECK(test.last_action<deliver_error>().what.request_ran() == ran::yes);
    }
    else
    {
        CHECK(test.actions_of<deliver_error>().empty());
        CHECK_FALSE(test.last_action<start_attempt>().resume);
        CHECK(test.actions_of<start_attempt>().size() == 3);
    }
}

TEST_CASE("each kind of refusal before the request ran is handled",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.submit("r1", "a");
    SECTION("not loaded: the adapter is loaded again")
    {
        test.fail(test.last_action<start_attempt>(), failure_stage::refused,
                  404);
        CHECK(test.last_action<load_adapter>().name == named("a@1#5"));
        CHECK(test.dispatcher->in_progress() == 1);
    }
    SECTION("an old fencing number: a later owner exists")
    {
        test.fail(test.last_action<start_attempt>(), failure_stage::refused,
                  412);
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::not_owner);
        CHECK_FALSE(test.dispatcher->view(test.now).usable);
    }
    SECTION("overloaded: the request is queued and sent again after a delay")
    {
        test.fail(test.last_action<start_attempt>(), failure_stage::refused,
                  503);
        CHECK(test.actions_of<start_attempt>().size() == 1);
        test.advance(100ms);
        CHECK(test.actions_of<start_attempt>().size() == 2);
    }
    SECTION("not sent: reported as not run, so that another worker is tried")
    {
        test.fail(test.last_action<start_attempt>(), failure_stage::not_sent);
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::back_end_unavailable);
        CHECK(test.last_action<deliver_error>().what.request_ran() == ran::no);
        CHECK_FALSE(test.dispatcher->view(test.now).usable);
    }
}

TEST_CASE("a passed deadline or a withdrawal cancels the request at the engine",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.submit("r1", "a", 1s);
    test.chunk(test.last_action<start_attempt>(), 0);
    bool const withdrawn = GENERATE(false, true);
    if (withdrawn)
        test.dispatcher->withdraw(request_id("r1"), test.now, test.actions);
    else
        test.advance(1s);
    CHECK(test.last_action<cancel_attempt>().stop_at_engine);
    CHECK(test.actions_of<deliver_error>().size() == (withdrawn ? 0 : 1));
    CHECK(test.dispatcher->in_progress() == 0);
}

TEST_CASE("preloads fill free slots when no request waits for a load",
          "[dispatcher]")
{
    fixture test;
    test.policy.preloads = {adapter_ref(adapter_id("x"), adapter_version(1)),
                            adapter_ref(adapter_id("y"), adapter_version(1)),
                            adapter_ref(adapter_id("z"), adapter_version(1))};
    test.report({});
    test.advance(1s);
    CHECK(test.actions_of<load_adapter>().size() == 2);
    CHECK(test.actions_of<record_intent>().empty());
}

TEST_CASE(
    "batch efficiency counts slots only while requests are running or queued",
    "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}});
    test.advance(5s);
    test.submit("r1", "a");
    test.now += 3s;
    dispatch_counts const counts = test.dispatcher->counts(test.now);
    CHECK(counts.busy_slot_time == 3s);
    CHECK(counts.open_slot_time == 6s);
}
