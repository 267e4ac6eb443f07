#include "dispatcher_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;
using tests::named;
using fixture = tests::dispatcher_fixture;

// Failure: an earlier owner recorded an unload intent and may send the order at
// any time, which would unload the adapter under a request. That name is not
// used; the adapter is loaded under a name of this owner.
TEST_CASE("no request is routed to a name with an open intent", "[dispatcher]")
{
    fixture test({{}, true, {named("a@1#3")}});
    test.report({{named("a@1#3"), 0}});
    test.submit("r1", "a");
    CHECK(test.actions_of<start_attempt>().empty());
    CHECK(test.last_action<load_adapter>().name == named("a@1#5"));
}

// Failure: an earlier owner records an intent and ends before it sends the
// order. The adapter would hold a slot without serving requests, and the intent
// would stay in the row forever. The name is used again once a report from
// after the arrival of everything the earlier owner can have sent still shows
// it.
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

// Guards against requests to an adapter that an earlier owner may unload by an
// intent that was lost with an unreadable row.
TEST_CASE("lost intents bar all adapters of earlier owners until orders settle",
          "[dispatcher]")
{
    engine_name const lost(lost_intents);
    engine_name const kept = named("a@1#3");
    bool const suspects = GENERATE(true, false);
    fixture test({{}, suspects, {lost}});
    test.report({{kept, 0}});
    if (suspects)
    {
        test.advance(10s);
        test.report({{kept, 0}});
        CHECK(test.forget_count(lost) == 0);
        test.dispatcher->suspects_stopped(test.now, test.now);
    }
    test.submit("r1", "a");
    REQUIRE(test.actions_of<start_attempt>().empty());
    CHECK(test.last_action<load_adapter>().name == named("a@1#5"));
    test.advance(tests::small_limits().order_timeout +
                 tests::small_limits().settle_time);
    test.report({{kept, 0}});
    CHECK(test.forget_count(lost) == 0);
    test.advance(1ms);
    test.report({{kept, 0}});
    CHECK(test.forget_count(lost) == 1);
    test.submit("r2", "a");
    REQUIRE_FALSE(test.actions_of<start_attempt>().empty());
    CHECK(test.last_action<start_attempt>().name == kept);
}

// Everything that earlier owners sent has arrived, but the name can still be
// unloaded: this owner evicts the adapter itself, a later owner may do so, or
// the name was loaded by a later owner or an unknown party.
TEST_CASE("a name that may still be unloaded is not used", "[dispatcher]")
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

// Failure: an adapter is evicted that a request of an earlier owner still uses.
// All slots hold such adapters. While the earlier owner may send, and until a
// later report shows an adapter idle, none is evicted.
TEST_CASE(
    "adapters pinned by an earlier owner stay until a later report clears them",
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

TEST_CASE("an unload is ordered only after its intent is recorded",
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
    SECTION("not recorded: no order is sent and the adapter stays in use")
    {
        test.dispatcher->on_intent(intent, false, test.now, test.actions);
        CHECK(test.actions_of<unload_adapter>().empty());
        test.submit("r2",
                    test.last_action<record_intent>().name == named("a@1#5")
                        ? "a"
                        : "b");
        CHECK(test.actions_of<start_attempt>().size() == 1);
    }
    SECTION(
        "unknown: the name is not used until a report after the settle time")
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

// Failure: two adapters that are never idle hold both slots, and a request for
// a third starves. After starvation_timeout one of them is drained and evicted.
TEST_CASE("a busy adapter is drained and evicted after the starvation timeout",
          "[dispatcher]")
{
    fixture test;
    test.occupy_both_slots();
    test.submit("r4", "a");
    test.finish(test.actions_of<start_attempt>()[0], 1);
    test.finish(test.actions_of<start_attempt>()[1], 1);
    REQUIRE(test.actions_of<record_intent>().size() == 1);
    CHECK(test.last_action<record_intent>().name == named("a@1#5"));
}

// Failure: requests for the drained adapter are always waiting, and cancelling
// its eviction for them lets the request for a third adapter starve. The
// eviction is cancelled only if the third adapter is no longer needed.
TEST_CASE("a drained adapter is evicted although requests wait for it",
          "[dispatcher]")
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

// Failure: an adapter is drained for a request that is then withdrawn, and
// stays drained. Its requests would wait until their deadlines although the
// adapter is loaded.
TEST_CASE("a drained adapter is used again when its slot is no longer needed",
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

// Failure: the table becomes unreachable while an intent is being written.
// After the timeout the adapter's requests are served, and a late confirmation
// of the intent does not unload the adapter under them.
TEST_CASE("an eviction is cancelled if its intent is not confirmed in time",
          "[dispatcher]")
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

// While the table is unreachable nothing may be evicted. A request whose
// adapter has no slot is refused at once, so that it can be sent to a worker
// that has the adapter loaded.
TEST_CASE("without evictions a full worker refuses requests for other adapters",
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

// Failure: a reason to evict an adapter and a reason to keep it both persist,
// and evictions start and are cancelled in an endless loop, since an intent
// that is still in the row is confirmed at once.
TEST_CASE(
    "an adapter whose eviction was cancelled is not evicted again at once",
    "[dispatcher]")
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
