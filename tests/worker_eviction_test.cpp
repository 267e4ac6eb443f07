#include "dispatcher_bench.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;
using tests::named;
using bench = tests::dispatcher_bench;

// The caller must not lose its adapter to an order that an earlier owner
// recorded, and may send at any time: that name is left alone and the adapter
// loaded under a name of this owner's.
TEST_CASE("a name with an open intent is not routed to", "[dispatcher]")
{
    bench it({{}, true, {named("a@1#3")}});
    it.report({{named("a@1#3"), 0}});
    it.submit("r1", "a");
    CHECK(it.asked<start_attempt>().empty());
    CHECK(it.last<load_adapter>().name == named("a@1#5"));
}

// An earlier owner recorded an intent and died before it sent the order. Once
// it certainly sends nothing more and a report of a moment at which all that it
// sent had arrived still shows the name, the adapter is not unloaded any more.
// Barred for good, it would hold a slot that serves nobody, and the intent
// would stand in the row for ever.
TEST_CASE("a name whose unload was never sent is used again", "[dispatcher]")
{
    engine_name const kept = named("a@1#3");
    bool const suspects = GENERATE(true, false);
    bench it({{}, suspects, {kept}});
    it.report({{kept, 0}});
    if (suspects)
    {
        it.pass(10s);
        it.report({{kept, 0}});
        CHECK(it.forgotten(kept) == 0);
        it.dispatcher->suspects_stopped(it.now, it.now);
    }
    it.pass(tests::small_limits().order_timeout +
            tests::small_limits().settle_time);
    it.report({{kept, 0}});
    CHECK(it.forgotten(kept) == 0);
    it.pass(1ms);
    it.report({{kept, 0}});
    CHECK(it.forgotten(kept) == 1);
    it.submit("r1", "a");
    REQUIRE(it.asked<start_attempt>().size() == 1);
    CHECK(it.last<start_attempt>().name == kept);
    CHECK(it.asked<load_adapter>().empty());
}

// All that earlier owners sent has arrived, but their intent is not over: this
// owner evicts the adapter itself, a later owner may do so, or the name says
// nothing of whose it is.
TEST_CASE("a name that may yet be unloaded stays barred", "[dispatcher]")
{
    duration const long_after = 1min;
    SECTION("by this owner")
    {
        engine_name const going = named("a@1#3");
        bench it({{}, false, {going}});
        it.report({{going, 0}, {named("b@1#5"), 0}});
        it.submit("r1", "c");
        REQUIRE(it.last<record_intent>().name == going);
        bool const recorded = GENERATE(true, false);
        if (recorded)
            it.dispatcher->on_intent(it.last<record_intent>().order, true,
                                     it.now, it.actions);
        it.now += long_after;
        it.report({{going, 0}, {named("b@1#5"), 0}});
        CHECK(it.forgotten(going) == 0);
        it.submit("r2", "a");
        CHECK(it.asked<start_attempt>().empty());
    }
    SECTION("by an owner after this one")
    {
        engine_name const name = named("a@1#3");
        bench it({{}, false, {name}});
        it.report({{name, 0}});
        it.dispatcher->stop_admitting(it.now, it.actions);
        it.pass(long_after);
        it.report({{name, 0}});
        CHECK(it.forgotten(name) == 0);
    }
    SECTION("by whoever loaded it")
    {
        engine_name const name = GENERATE(named("a@1#6"), named("other"));
        bench it({{}, false, {name}});
        it.report({{name, 0}});
        it.pass(long_after);
        it.report({{name, 0}});
        CHECK(it.forgotten(name) == 0);
        it.submit("r1", "a");
        CHECK(it.asked<start_attempt>().empty());
    }
}

// Slots are full of what an earlier owner may still use. While it may send,
// and until a report of a later moment shows nothing of its running, nothing
// is evicted; then the request gets its slot.
TEST_CASE("suspected adapters stay until a later report clears them",
          "[dispatcher]")
{
    bench it({{}, true, {}});
    it.report({{named("a@1#3"), 1}, {named("b@1#3"), 0}});
    it.submit("r1", "c");
    it.pass(10s);
    CHECK(it.asked<record_intent>().empty());
    it.dispatcher->suspects_stopped(it.now, it.now);
    it.pass(1s);
    it.report({{named("a@1#3"), 1}, {named("b@1#3"), 0}});
    CHECK(it.asked<record_intent>().empty());
    it.pass(2s);
    it.report({{named("a@1#3"), 1}, {named("b@1#3"), 0}});
    REQUIRE(it.asked<record_intent>().size() == 1);
    CHECK(it.last<record_intent>().name == named("b@1#3"));
}

TEST_CASE("an unload is ordered only after its intent was recorded",
          "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    it.submit("r1", "c");
    order_id const intent = it.last<record_intent>().order;
    CHECK(it.asked<unload_adapter>().empty());

    SECTION("recorded: unload, forget, load")
    {
        it.dispatcher->on_intent(intent, true, it.now, it.actions);
        it.order(it.last<unload_adapter>().order, order_result::outcome::done);
        CHECK(it.asked<forget_intent>().size() == 1);
        CHECK(it.last<load_adapter>().name == named("c@1#5"));
    }
    SECTION("not recorded: no order, the adapter serves on")
    {
        it.dispatcher->on_intent(intent, false, it.now, it.actions);
        CHECK(it.asked<unload_adapter>().empty());
        it.submit("r2",
                  it.last<record_intent>().name == named("a@1#5") ? "a" : "b");
        CHECK(it.asked<start_attempt>().size() == 1);
    }
    SECTION("unknown: the name is barred until a settled report")
    {
        it.dispatcher->on_intent(intent, true, it.now, it.actions);
        engine_name const gone = it.last<unload_adapter>().name;
        std::string const adapter = gone.str().substr(0, 1);
        it.order(it.last<unload_adapter>().order,
                 order_result::outcome::unknown, 0);
        it.submit("r2", adapter);
        CHECK(it.last<deliver_error>().what.kind() == error_kind::load_failed);
        CHECK(it.forgotten(gone) == 0);
        it.pass(3s);
        CHECK(it.forgotten(gone) == 0);
        it.report(
            {{gone == named("a@1#5") ? named("b@1#5") : named("a@1#5"), 0}});
        CHECK(it.forgotten(gone) == 1);
        CHECK(it.asked<start_attempt>().empty());
    }
}

// Two adapters that are never idle hold both slots. A request for a third must
// not starve: after the fair wait one of them is sent no more and goes.
TEST_CASE("a busy adapter gives way after the fair wait", "[dispatcher]")
{
    bench it;
    it.fill_with_busy();
    it.submit("r4", "a");
    it.finish(it.asked<start_attempt>()[0], 1);
    it.finish(it.asked<start_attempt>()[1], 1);
    REQUIRE(it.asked<record_intent>().size() == 1);
    CHECK(it.last<record_intent>().name == named("a@1#5"));
}

// Two adapters that are never idle hold both slots, and requests for the one
// that gives way wait all the time. It goes all the same: else the request for
// a third would wait until its deadline.
TEST_CASE("a busy adapter goes although it is waited for", "[dispatcher]")
{
    bench it;
    it.fill_with_busy();
    it.submit("r4", "a");
    it.finish(it.asked<start_attempt>()[0], 1);
    order_id const intent = it.last<record_intent>().order;
    REQUIRE(it.last<record_intent>().name == named("a@1#5"));
    bool const still_waits = GENERATE(true, false);
    if (!still_waits)
        it.dispatcher->withdraw(request_id("r3"), it.now, it.actions);
    it.dispatcher->on_intent(intent, true, it.now, it.actions);
    CHECK(it.asked<unload_adapter>().size() == (still_waits ? 1 : 0));
    CHECK(it.forgotten(named("a@1#5")) == (still_waits ? 0 : 1));
    CHECK(it.asked<start_attempt>().size() == (still_waits ? 2 : 3));
}

// Whoever a busy adapter was to make room for goes away. The adapter is loaded
// and must be sent its requests again; they would wait out their deadlines.
TEST_CASE("an adapter that need not give way any more is used again",
          "[dispatcher]")
{
    bench it;
    it.fill_with_busy();
    it.submit("r4", "a");
    CHECK(it.asked<start_attempt>().size() == 2);
    it.dispatcher->withdraw(request_id("r3"), it.now, it.actions);
    it.finish(it.asked<start_attempt>()[0], 1);
    REQUIRE(it.asked<start_attempt>().size() == 3);
    CHECK(it.last<start_attempt>().request.id == request_id("r4"));
    CHECK(it.asked<record_intent>().empty());
}

// The table is lost with an intent on its way. The adapter is loaded: after the
// timeout its requests are served, and a late word that the intent stands in
// the row does not unload it under them.
TEST_CASE("an intent that is not settled is given up", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    it.submit("r1", "c");
    record_intent const intent = it.last<record_intent>();
    it.submit("r2", intent.name == named("a@1#5") ? "a" : "b");
    it.dispatcher->set_may_evict(false);
    it.pass(1s);
    CHECK(it.asked<start_attempt>().empty());
    it.pass(1s);
    REQUIRE(it.asked<start_attempt>().size() == 1);
    CHECK(it.last<start_attempt>().name == intent.name);
    CHECK(it.forgotten(intent.name) == 1);
    it.dispatcher->on_intent(intent.order, true, it.now, it.actions);
    it.pass(1s);
    CHECK(it.asked<unload_adapter>().empty());
}

// The table is out of reach. Nothing may be evicted; a request for an adapter
// without a slot is told so at once, so that it can go where it is loaded.
TEST_CASE("without evictions a full worker refuses what it cannot load",
          "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    bool const waited = GENERATE(false, true);
    if (waited)
    {
        it.pass(1s);
        it.submit("r1", "a");
        it.submit("r2", "b");
        it.submit("r3", "c");
    }
    it.dispatcher->set_may_evict(false);
    it.pass(20ms);
    if (!waited)
        it.submit("r3", "c");
    CHECK(it.last<deliver_error>().request == request_id("r3"));
    CHECK(it.last<deliver_error>().what.kind() == error_kind::load_failed);
    CHECK(it.last<deliver_error>().what.request_ran() == ran::no);
    CHECK(it.asked<record_intent>().empty());
    it.submit("r4", "a");
    CHECK(it.dispatcher->knows(request_id("r4")));
    it.dispatcher->set_may_evict(true);
    it.submit("r5", "c");
    CHECK(it.dispatcher->knows(request_id("r5")));
}

// A decision to evict and a reason to keep the adapter that both last must not
// chase each other: the row, which still has the intent, records it at once.
TEST_CASE("an adapter just kept is not evicted again at once", "[dispatcher]")
{
    bench it;
    it.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    it.submit("r1", "b");
    it.submit("r2", "c");
    REQUIRE(it.last<record_intent>().name == named("a@1#5"));
    it.submit("r3", "a");
    it.dispatcher->on_intent(it.last<record_intent>().order, true, it.now,
                             it.actions);
    CHECK(it.forgotten(named("a@1#5")) == 1);
    it.finish(it.last<start_attempt>(), 0);
    CHECK(it.asked<record_intent>().size() == 1);
    it.pass(1s);
    CHECK(it.asked<record_intent>().size() == 2);
}
