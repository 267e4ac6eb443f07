#include "dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;
using tests::named;
using fixture = tests::dispatcher_fixture;

// The caller must not lose its adapter to an order that an earlier owner
// recorded, and may send at any time: that name is left alone and the adapter
// loaded under a name of this owner's.
TEST_CASE("a name with an open intent is not routed to", "[dispatcher]")
{
    fixture test({{}, true, {named("a@1#3")}});
    test.report({{named("a@1#3"), 0}});
    test.submit("r1", "a");
    CHECK(test.actions_of<start_attempt>().empty());
    CHECK(test.last_action<load_adapter>().name == named("a@1#5"));
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
    fixture test({{}, suspects, {kept}});
    test.report({{kept, 0}});
    if (suspects)
    {
        test.advance(10s);
        test.report({{kept, 0}});
        CHECK(test.forget_count(kept) == 0);
        test.dispatcher->suspects_stopped(test.now, test.now);
    }
    test.advance(tests::small_limits().order_timeout +
                 tests::small_limits().settle_time);
    test.report({{kept, 0}});
    CHECK(test.forget_count(kept) == 0);
    test.advance(1ms);
    test.report({{kept, 0}});
    CHECK(test.forget_count(kept) == 1);
    test.submit("r1", "a");
    REQUIRE(test.actions_of<start_attempt>().size() == 1);
    CHECK(test.last_action<start_attempt>().name == kept);
    CHECK(test.actions_of<load_adapter>().empty());
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
        fixture test({{}, false, {going}});
        test.report({{going, 0}, {named("b@1#5"), 0}});
        test.submit("r1", "c");
        REQUIRE(test.last_action<record_intent>().name == going);
        bool const recorded = GENERATE(true, false);
        if (recorded)
            test.dispatcher->on_intent(test.last_action<record_intent>().order,
                                       true, test.now, test.actions);
        test.now += long_after;
        test.report({{going, 0}, {named("b@1#5"), 0}});
        CHECK(test.forget_count(going) == 0);
        test.submit("r2", "a");
        CHECK(test.actions_of<start_attempt>().empty());
    }
    SECTION("by an owner after this one")
    {
        engine_name const name = named("a@1#3");
        fixture test({{}, false, {name}});
        test.report({{name, 0}});
        test.dispatcher->stop_admitting(test.now, test.actions);
        test.advance(long_after);
        test.report({{name, 0}});
        CHECK(test.forget_count(name) == 0);
    }
    SECTION("by whoever loaded it")
    {
        engine_name const name = GENERATE(named("a@1#6"), named("other"));
        fixture test({{}, false, {name}});
        test.report({{name, 0}});
        test.advance(long_after);
        test.report({{name, 0}});
        CHECK(test.forget_count(name) == 0);
        test.submit("r1", "a");
        CHECK(test.actions_of<start_attempt>().empty());
    }
}

// Slots are full of what an earlier owner may still use. While it may send,
// and until a report of a later moment shows nothing of its running, nothing
// is evicted; then the request gets its slot.
TEST_CASE("suspected adapters stay until a later report clears them",
          "[dispatcher]")
{
    fixture test({{}, true, {}});
    test.report({{named("a@1#3"), 1}, {named("b@1#3"), 0}});
    test.submit("r1", "c");
    test.advance(10s);
    CHECK(test.actions_of<record_intent>().empty());
    test.dispatcher->suspects_stopped(test.now, test.now);
    test.advance(1s);
    test.report({{named("a@1#3"), 1}, {named("b@1#3"), 0}});
    CHECK(test.actions_of<record_intent>().empty());
    test.advance(2s);
    test.report({{named("a@1#3"), 1}, {named("b@1#3"), 0}});
    REQUIRE(test.actions_of<record_intent>().size() == 1);
    CHECK(test.last_action<record_intent>().name == named("b@1#3"));
}

TEST_CASE("an unload is ordered only after its intent was recorded",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    test.submit("r1", "c");
    order_id const intent = test.last_action<record_intent>().order;
    CHECK(test.actions_of<unload_adapter>().empty());

    SECTION("recorded: unload, forget, load")
    {
        test.dispatcher->on_intent(intent, true, test.now, test.actions);
        test.order(test.last_action<unload_adapter>().order,
                   order_result::outcome::done);
        CHECK(test.actions_of<forget_intent>().size() == 1);
        CHECK(test.last_action<load_adapter>().name == named("c@1#5"));
    }
    SECTION("not recorded: no order, the adapter serves on")
    {
        test.dispatcher->on_intent(intent, false, test.now, test.actions);
        CHECK(test.actions_of<unload_adapter>().empty());
        test.submit("r2",
                    test.last_action<record_intent>().name == named("a@1#5")
                        ? "a"
                        : "b");
        CHECK(test.actions_of<start_attempt>().size() == 1);
    }
    SECTION("unknown: the name is barred until a settled report")
    {
        test.dispatcher->on_intent(intent, true, test.now, test.actions);
        engine_name const gone = test.last_action<unload_adapter>().name;
        std::string const adapter = gone.str().substr(0, 1);
        test.order(test.last_action<unload_adapter>().order,
                   order_result::outcome::unknown, 0);
        test.submit("r2", adapter);
        CHECK(test.last_action<deliver_error>().what.kind() ==
              error_kind::load_failed);
        CHECK(test.forget_count(gone) == 0);
        test.advance(3s);
        CHECK(test.forget_count(gone) == 0);
        test.report(
            {{gone == named("a@1#5") ? named("b@1#5") : named("a@1#5"), 0}});
        CHECK(test.forget_count(gone) == 1);
        CHECK(test.actions_of<start_attempt>().empty());
    }
}

// Two adapters that are never idle hold both slots. A request for a third must
// not starve: after the fair wait one of them is sent no more and goes.
TEST_CASE("a busy adapter gives way after the fair wait", "[dispatcher]")
{
    fixture test;
    test.occupy_both_slots();
    test.submit("r4", "a");
    test.finish(test.actions_of<start_attempt>()[0], 1);
    test.finish(test.actions_of<start_attempt>()[1], 1);
    REQUIRE(test.actions_of<record_intent>().size() == 1);
    CHECK(test.last_action<record_intent>().name == named("a@1#5"));
}

// Two adapters that are never idle hold both slots, and requests for the one
// that gives way wait all the time. It goes all the same: else the request for
// a third would wait until its deadline.
TEST_CASE("a busy adapter goes although it is waited for", "[dispatcher]")
{
    fixture test;
    test.occupy_both_slots();
    test.submit("r4", "a");
    test.finish(test.actions_of<start_attempt>()[0], 1);
    order_id const intent = test.last_action<record_intent>().order;
    REQUIRE(test.last_action<record_intent>().name == named("a@1#5"));
    bool const still_waits = GENERATE(true, false);
    if (!still_waits)
        test.dispatcher->withdraw(request_id("r3"), test.now, test.actions);
    test.dispatcher->on_intent(intent, true, test.now, test.actions);
    CHECK(test.actions_of<unload_adapter>().size() == (still_waits ? 1 : 0));
    CHECK(test.forget_count(named("a@1#5")) == (still_waits ? 0 : 1));
    CHECK(test.actions_of<start_attempt>().size() == (still_waits ? 2 : 3));
}

// Whoever a busy adapter was to make room for goes away. The adapter is loaded
// and must be sent its requests again; they would wait out their deadlines.
TEST_CASE("an adapter that need not give way any more is used again",
          "[dispatcher]")
{
    fixture test;
    test.occupy_both_slots();
    test.submit("r4", "a");
    CHECK(test.actions_of<start_attempt>().size() == 2);
    test.dispatcher->withdraw(request_id("r3"), test.now, test.actions);
    test.finish(test.actions_of<start_attempt>()[0], 1);
    REQUIRE(test.actions_of<start_attempt>().size() == 3);
    CHECK(test.last_action<start_attempt>().request.id == request_id("r4"));
    CHECK(test.actions_of<record_intent>().empty());
}

// The table is lost with an intent on its way. The adapter is loaded: after the
// timeout its requests are served, and a late word that the intent stands in
// the row does not unload it under them.
TEST_CASE("an intent that is not settled is given up", "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    test.submit("r1", "c");
    record_intent const intent = test.last_action<record_intent>();
    test.submit("r2", intent.name == named("a@1#5") ? "a" : "b");
    test.dispatcher->set_may_evict(false);
    test.advance(1s);
    CHECK(test.actions_of<start_attempt>().empty());
    test.advance(1s);
    REQUIRE(test.actions_of<start_attempt>().size() == 1);
    CHECK(test.last_action<start_attempt>().name == intent.name);
    CHECK(test.forget_count(intent.name) == 1);
    test.dispatcher->on_intent(intent.order, true, test.now, test.actions);
    test.advance(1s);
    CHECK(test.actions_of<unload_adapter>().empty());
}

// The table is out of reach. Nothing may be evicted; a request for an adapter
// without a slot is told so at once, so that it can go where it is loaded.
TEST_CASE("without evictions a full worker refuses what it cannot load",
          "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    bool const waited = GENERATE(false, true);
    if (waited)
    {
        test.advance(1s);
        test.submit("r1", "a");
        test.submit("r2", "b");
        test.submit("r3", "c");
    }
    test.dispatcher->set_may_evict(false);
    test.advance(20ms);
    if (!waited)
        test.submit("r3", "c");
    CHECK(test.last_action<deliver_error>().request == request_id("r3"));
    CHECK(test.last_action<deliver_error>().what.kind() ==
          error_kind::load_failed);
    CHECK(test.last_action<deliver_error>().what.request_ran() == ran::no);
    CHECK(test.actions_of<record_intent>().empty());
    test.submit("r4", "a");
    CHECK(test.dispatcher->knows(request_id("r4")));
    test.dispatcher->set_may_evict(true);
    test.submit("r5", "c");
    CHECK(test.dispatcher->knows(request_id("r5")));
}

// A decision to evict and a reason to keep the adapter that both last must not
// chase each other: the row, which still has the intent, records it at once.
TEST_CASE("an adapter just kept is not evicted again at once", "[dispatcher]")
{
    fixture test;
    test.report({{named("a@1#5"), 0}, {named("b@1#5"), 0}});
    test.submit("r1", "b");
    test.submit("r2", "c");
    REQUIRE(test.last_action<record_intent>().name == named("a@1#5"));
    test.submit("r3", "a");
    test.dispatcher->on_intent(test.last_action<record_intent>().order, true,
                               test.now, test.actions);
    CHECK(test.forget_count(named("a@1#5")) == 1);
    test.finish(test.last_action<start_attempt>(), 0);
    CHECK(test.actions_of<record_intent>().size() == 1);
    test.advance(1s);
    CHECK(test.actions_of<record_intent>().size() == 2);
}
