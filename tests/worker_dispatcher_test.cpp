#include "dispatcher_bench.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;
using tests::named;
using bench = tests::dispatcher_bench;

TEST_CASE("nothing is loaded before the first report", "[dispatcher]")
{
    bench it;
    it.submit("r1", "a");
    CHECK(it.asked<load_adapter>().empty());
    it.report({});
    REQUIRE(it.asked<load_adapter>().size() == 1);
    CHECK(it.last<load_adapter>().name == named("a@1#5"));
    it.now += 300ms;
    it.order(it.last<load_adapter>().order, order_result::outcome::done);
    CHECK(it.last<start_attempt>().name == named("a@1#5"));
    CHECK(it.dispatcher->counts(it.now).stalled == 1);
    CHECK(it.dispatcher->counts(it.now).stall_time == 300ms);
}

TEST_CASE("an adapter of an earlier owner serves under its loaded name",
          "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#3"), 0}});
    it.submit("r1", "a");
    CHECK(it.last<start_attempt>().name == named("a@1#3"));
    CHECK(it.dispatcher->counts(it.now).stalled == 0);
}

TEST_CASE("requests given up on are answered at once", "[dispatcher]")
{
    bench it;
    it.submit("late", "a", 0s);
    CHECK(it.last<deliver_error>().what.kind() == error_kind::deadline_passed);
    it.submit("r1", "a", 30s, 5);
    it.submit("r2", "a", 30s, 3);

    SECTION("the queue is full")
    {
        it.submit("r3", "a", 30s, 3);
        CHECK(it.last<deliver_error>().request == request_id("r3"));
        CHECK(it.last<deliver_error>().what.kind() == error_kind::overloaded);
        CHECK(it.last<deliver_error>().what.retry_after());
    }
    SECTION("more priority displaces the least")
    {
        it.submit("r3", "a", 30s, 9);
        CHECK(it.last<deliver_error>().request == request_id("r2"));
        CHECK(it.last<deliver_error>().what.request_ran() == ran::no);
        CHECK(it.dispatcher->knows(request_id("r3")));
    }
    SECTION("the load failed")
    {
        it.report({});
        it.order(it.last<load_adapter>().order, order_result::outcome::refused,
                 503, "load_failed");
        CHECK(it.asked<deliver_error>().size() == 3);
        CHECK(it.last<deliver_error>().what.kind() == error_kind::load_failed);
        CHECK(it.dispatcher->in_progress() == 0);
    }
    SECTION("the worker is given up")
    {
        it.dispatcher->stop_admitting(it.now, it.actions);
        CHECK(it.last<deliver_error>().what.kind() == error_kind::not_owner);
        CHECK(it.dispatcher->in_progress() == 0);
        it.submit("r3", "a");
        CHECK(it.last<deliver_error>().what.kind() == error_kind::not_owner);
    }
}

TEST_CASE("a wait past the deadline is refused by the measured rate",
          "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.submit("r1", "a");
    it.now += 4s;
    it.end(it.last<start_attempt>());
    it.finish(it.last<start_attempt>(), 0);
    it.submit("r2", "a");
    it.submit("r3", "a");
    it.submit("r4", "a", 1s);
    CHECK(it.last<deliver_error>().request == request_id("r4"));
    CHECK(it.last<deliver_error>().what.kind() == error_kind::overloaded);
    CHECK(it.last<deliver_error>().what.retry_after() == 2s);
}

// The connection goes silent for good: the caller sees a short pause, then the
// rest of the same answer, which is asked for where it stopped.
TEST_CASE("a silent stream is resumed at the next offset", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.submit("r1", "a");
    it.chunk(it.last<start_attempt>(), 0);
    it.pass(1s);
    CHECK(it.asked<start_attempt>().size() == 1);
    it.pass(1s);
    REQUIRE(it.asked<start_attempt>().size() == 2);
    CHECK(it.last<start_attempt>().resume);
    CHECK(it.last<start_attempt>().offset == 1);
    CHECK_FALSE(it.last<cancel_attempt>().stop_at_engine);
    it.finish(it.last<start_attempt>(), 1);
    CHECK(it.asked<deliver_event>().size() == 2);
    CHECK(it.asked<deliver_end>().size() == 1);
    CHECK(it.dispatcher->in_progress() == 0);
}

// The last event is lost and the mark of the end is not. The caller gets the
// rest of the answer, or is told that it broke off; never a part as the whole.
TEST_CASE("an end without the last event is no end", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.submit("r1", "a");
    it.chunk(it.last<start_attempt>(), 0);
    it.end(it.last<start_attempt>());
    CHECK(it.asked<deliver_end>().empty());
    REQUIRE(it.last<start_attempt>().resume);
    CHECK(it.last<start_attempt>().offset == 1);
    bool const had = GENERATE(true, false);
    if (had)
        it.finish(it.last<start_attempt>(), 1);
    else
        it.fail(it.last<start_attempt>(), failure_stage::refused, 404);
    CHECK(it.asked<deliver_end>().size() == (had ? 1 : 0));
    CHECK(it.asked<deliver_error>().size() == (had ? 0 : 1));
    if (!had)
        CHECK(it.last<deliver_error>().what.kind() == error_kind::answer_cut);
}

// The engine restarted: it refuses the resume as unknown. Before the first
// event a fresh start still gives one whole answer; after it nothing does.
TEST_CASE("a request that the engine forgot", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.submit("r1", "a");
    bool const begun = GENERATE(false, true);
    if (begun)
        it.chunk(it.last<start_attempt>(), 0);
    it.fail(it.last<start_attempt>(), failure_stage::sent);
    REQUIRE(it.last<start_attempt>().resume);
    it.fail(it.last<start_attempt>(), failure_stage::refused, 404);
    if (begun)
    {
        CHECK(it.last<deliver_error>().what.kind() == error_kind::answer_cut);
        CHECK(it.last<deliver_error>().what.request_ran() == ran::yes);
    }
    else
    {
        CHECK(it.asked<deliver_error>().empty());
        CHECK_FALSE(it.last<start_attempt>().resume);
        CHECK(it.asked<start_attempt>().size() == 3);
    }
}

TEST_CASE("refusals before anything ran", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.submit("r1", "a");
    SECTION("not loaded: the adapter is loaded again")
    {
        it.fail(it.last<start_attempt>(), failure_stage::refused, 404);
        CHECK(it.last<load_adapter>().name == named("a@1#5"));
        CHECK(it.dispatcher->in_progress() == 1);
    }
    SECTION("an old fencing number: a later owner exists")
    {
        it.fail(it.last<start_attempt>(), failure_stage::refused, 412);
        CHECK(it.last<deliver_error>().what.kind() == error_kind::not_owner);
        CHECK_FALSE(it.dispatcher->view(it.now).usable);
    }
    SECTION("overloaded: back to the queue for a moment")
    {
        it.fail(it.last<start_attempt>(), failure_stage::refused, 503);
        CHECK(it.asked<start_attempt>().size() == 1);
        it.pass(100ms);
        CHECK(it.asked<start_attempt>().size() == 2);
    }
    SECTION("not sent: told so that another worker is tried")
    {
        it.fail(it.last<start_attempt>(), failure_stage::not_sent);
        CHECK(it.last<deliver_error>().what.kind() ==
              error_kind::back_end_unavailable);
        CHECK(it.last<deliver_error>().what.request_ran() == ran::no);
        CHECK_FALSE(it.dispatcher->view(it.now).usable);
    }
}

TEST_CASE("deadlines and withdrawals stop the engine", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.submit("r1", "a", 1s);
    it.chunk(it.last<start_attempt>(), 0);
    bool const withdrawn = GENERATE(false, true);
    if (withdrawn)
        it.dispatcher->withdraw(request_id("r1"), it.now, it.actions);
    else
        it.pass(1s);
    CHECK(it.last<cancel_attempt>().stop_at_engine);
    CHECK(it.asked<deliver_error>().size() == (withdrawn ? 0 : 1));
    CHECK(it.dispatcher->in_progress() == 0);
}

TEST_CASE("loads ahead fill free slots when nobody waits for a load",
          "[dispatcher]")
{
    bench it;
    it.policy.wanted_ahead = {adapter_ref(adapter_id("x"), adapter_version(1)),
                              adapter_ref(adapter_id("y"), adapter_version(1)),
                              adapter_ref(adapter_id("z"), adapter_version(1))};
    it.report({});
    it.pass(1s);
    CHECK(it.asked<load_adapter>().size() == 2);
    CHECK(it.asked<record_intent>().empty());
}

TEST_CASE("batch efficiency counts slots only while there is work",
          "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}});
    it.pass(5s);
    it.submit("r1", "a");
    it.now += 3s;
    dispatch_counts const counts = it.dispatcher->counts(it.now);
    CHECK(counts.busy_slot_time == 3s);
    CHECK(counts.open_slot_time == 6s);
}
