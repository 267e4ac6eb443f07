#include "worker_dispatcher.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// Order of arrival, least recently used, nothing ahead unless told.
class plain_policy : public routing_policy
{
public:
    std::vector<adapter_ref> wanted_ahead;

    std::optional<worker_id> choose(model_request const&, cluster_view const&,
                                    std::set<worker_id> const&,
                                    time_point) override
    {
        return std::nullopt;
    }
    std::optional<adapter_ref>
    victim(worker_view const&, adapter_ref const&,
           std::vector<resident_view> const& candidates, time_point) override
    {
        auto const older = [](resident_view const& a, resident_view const& b)
        { return a.last_used < b.last_used; };
        return std::min_element(candidates.begin(), candidates.end(), older)
            ->adapter;
    }
    std::optional<std::size_t> next(worker_view const&,
                                    std::vector<waiting_request> const&,
                                    time_point) override
    {
        return 0;
    }
    std::vector<adapter_ref> ahead(worker_view const&, cluster_view const&,
                                   time_point) override
    {
        return wanted_ahead;
    }
    void observe(model_request const&, time_point) override {}
    void configure(declaration const&) override {}
};

worker_declaration small_worker()
{
    worker_declaration worker;
    worker.id = worker_id("w1");
    worker.batch_slots = 2;
    worker.adapter_slots = 2;
    return worker;
}

dispatcher_limits small_limits()
{
    dispatcher_limits limits;
    limits.max_queue = 2;
    limits.max_deadline = 60s;
    return limits;
}

/// A dispatcher of fence 5 with what it asked for.
struct bench
{
    explicit bench(ownership_grant grant = {})
        : budget(make_load_budget("even_split"))
    {
        budget->configure({100, 10});
        budget->set_members(1, now);
        grant.fence = fencing_number(5);
        dispatcher = std::make_unique<worker_dispatcher>(
            small_worker(), grant, small_limits(), policy, *budget, checks, ids,
            now);
        dispatcher->set_cluster(&cluster);
    }

    void submit(std::string const& id, std::string const& adapter,
                duration time_left = 30s, int priority = default_priority)
    {
        model_request request;
        request.id = request_id(id);
        request.adapter = adapter_ref(adapter_id(adapter), adapter_version(1));
        request.priority = priority;
        request.arrived = now;
        request.deadline = now + time_left;
        dispatcher->submit(request, now, actions);
    }
    /// A report of this moment with these names and requests under them.
    void report(std::vector<engine_report::adapter_load> adapters)
    {
        engine_report shown;
        shown.worker = worker_id("w1");
        shown.boot = boot_id("b");
        shown.as_of = now;
        for (auto const& each : adapters)
            shown.running += each.running;
        shown.adapters = std::move(adapters);
        dispatcher->on_report(shown, now, actions);
    }
    void pass(duration time)
    {
        now += time;
        dispatcher->tick(now, actions);
    }
    template <class Action>
    std::vector<Action> asked() const
    {
        std::vector<Action> found;
        for (action const& each : actions)
            if (auto const* one = std::get_if<Action>(&each))
                found.push_back(*one);
        return found;
    }
    template <class Action>
    Action last() const
    {
        return asked<Action>().back();
    }
    /// Both slots are in use, by r1 of a and r2 of b, and r3 of c has waited
    /// for the fair time.
    void fill_with_busy()
    {
        report({{engine_name("a@1#5"), 0}, {engine_name("b@1#5"), 0}});
        submit("r1", "a");
        submit("r2", "b");
        submit("r3", "c");
        pass(1s);
        chunk(asked<start_attempt>()[0], 0);
        chunk(asked<start_attempt>()[1], 0);
        pass(1s);
    }
    /// How often the intent under that name was told to be over.
    std::size_t forgotten(engine_name const& name) const
    {
        auto const all = asked<forget_intent>();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(),
                          [&](auto const& each) { return each.name == name; }));
    }
    void order(order_id id, order_result::outcome what, int status = 200,
               std::string const& code = "")
    {
        dispatcher->on_order({id, what, status, code}, now, actions);
    }
    void chunk(start_attempt const& at, std::uint64_t offset)
    {
        dispatcher->on_chunk(
            {at.attempt, offset, at.name, at.request.id, "text"}, now, actions);
    }
    void fail(start_attempt const& at, failure_stage stage, int status = 0)
    {
        dispatcher->on_failure({at.attempt, stage, status, "", "failed", {}},
                               now, actions);
    }
    void end(start_attempt const& at)
    {
        dispatcher->on_end({at.attempt}, now, actions);
    }

    time_point now = time_point(1000s);
    plain_policy policy;
    std::unique_ptr<load_budget> budget;
    safeguards checks;
    id_source ids;
    cluster_view cluster;
    std::unique_ptr<worker_dispatcher> dispatcher;
    action_list actions;
};

engine_name named(char const* text)
{
    return engine_name(text);
}

} // namespace

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
    it.chunk(it.asked<start_attempt>().back(), 0);
    it.end(it.last<start_attempt>());
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
    it.chunk(it.last<start_attempt>(), 1);
    it.end(it.last<start_attempt>());
    CHECK(it.asked<deliver_event>().size() == 2);
    CHECK(it.asked<deliver_end>().size() == 1);
    CHECK(it.dispatcher->in_progress() == 0);
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

// Two adapters that are never idle hold both slots. A request for a third must
// not starve: after the fair wait one of them is sent no more and goes.
TEST_CASE("a busy adapter gives way after the fair wait", "[dispatcher]")
{
    bench it;
    it.fill_with_busy();
    it.submit("r4", "a");
    it.end(it.asked<start_attempt>()[0]);
    it.end(it.asked<start_attempt>()[1]);
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
    it.end(it.asked<start_attempt>()[0]);
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
    it.end(it.asked<start_attempt>()[0]);
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
    it.submit("r1", "c");
    record_intent const first = it.last<record_intent>();
    it.submit("r2", first.name == named("a@1#5") ? "a" : "b", 500ms);
    it.dispatcher->on_intent(first.order, true, it.now, it.actions);
    CHECK(it.asked<start_attempt>().size() == 1);
    it.end(it.last<start_attempt>());
    it.dispatcher->withdraw(request_id("r2"), it.now, it.actions);
    for (record_intent const& each : it.asked<record_intent>())
        CHECK((each.order == first.order || each.name != first.name));
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
