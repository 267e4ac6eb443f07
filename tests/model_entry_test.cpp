#include "model_entry.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// Chooses the first worker that is not excluded, whatever its residents.
class first_worker_policy : public routing_policy
{
public:
    std::optional<worker_id> choose_worker(model_request const&,
                                           cluster_view const& view,
                                           std::set<worker_id> const& excluded,
                                           time_point) override
    {
        for (worker_view const* each : view.all())
            if (!excluded.contains(each->id))
                return each->id;
        return std::nullopt;
    }
    std::optional<adapter_ref> choose_victim(worker_view const&,
                                             adapter_ref const&,
                                             std::vector<resident_view> const&,
                                             time_point) override
    {
        return std::nullopt;
    }
    std::optional<std::size_t> choose_next(worker_view const&,
                                           std::vector<waiting_request> const&,
                                           time_point) override
    {
        return std::nullopt;
    }
    std::vector<adapter_ref> adapters_to_preload(worker_view const&,
                                                 cluster_view const&,
                                                 time_point) override
    {
        return {};
    }
    void observe(model_request const&, time_point) override {}
    void configure(declaration const&) override {}
};

class no_local_owner : public local_owner
{
public:
    void submit_locally(worker_id const&, model_request, time_point,
                        action_list&) override
    {
    }
    void withdraw_locally(worker_id const&, request_id const&, time_point,
                          action_list&) override
    {
    }
};

entry_settings settings_of_vm0()
{
    entry_settings made;
    made.vm = vm_id("vm0");
    return made;
}

/// The entry of vm0. vm1 owns both workers, which have one adapter slot each:
/// adapter b is resident at w1, adapter a at w2.
struct entry_fixture
{
    entry_fixture() : entry(settings_of_vm0(), policy, view, owner, checks, ids)
    {
        put("w1", "b", true);
        put("w2", "a", true);
    }

    void put(char const* worker, char const* adapter, bool can_evict)
    {
        worker_view shown;
        shown.id = worker_id(worker);
        shown.owner = vm_id("vm1");
        shown.adapter_slots = 1;
        shown.can_evict = can_evict;
        resident_view resident;
        resident.adapter = {adapter_id(adapter), adapter_version(1)};
        shown.residents = {resident};
        view.put(shown);
    }
    void submit()
    {
        model_request request;
        request.id = request_id("r1");
        request.adapter = {adapter_id("a"), adapter_version(1)};
        request.arrived = now;
        request.deadline = now + 30s;
        entry.submit(request, now, actions);
    }
    /// The owner answers the last forwarded request that the adapter cannot be
    /// loaded.
    void fail_load()
    {
        fail(error(error_kind::load_failed,
                   "the adapter cannot be loaded here now", ran::no, 1s));
    }
    /// The owner answers the last forwarded request with `failed`.
    void fail(error const& failed)
    {
        entry.on_failure({actions_of<forward_request>().back().attempt,
                          failure_stage::refused, 0, "", "", failed},
                         now, actions);
    }
    template <class Action>
    std::vector<Action> actions_of() const
    {
        std::vector<Action> found;
        for (action const& each : actions)
            if (auto const* one = std::get_if<Action>(&each))
                found.push_back(*one);
        return found;
    }
    void chunk(attempt_id attempt, std::uint64_t offset, bool last)
    {
        entry.on_chunk({attempt, offset, engine_name("a@1#5"),
                        request_id("r1.1"), "text", last},
                       now, actions);
    }

    time_point now = time_point(1000s);
    first_worker_policy policy;
    cluster_view view;
    no_local_owner owner;
    safeguards checks;
    id_source ids;
    model_entry entry;
    action_list actions;
};

} // namespace

// The last event of a forwarded answer is lost but its end marker arrives. The
// caller must get the rest from the engine or an error, not a truncated answer.
TEST_CASE("a forwarded answer without its last event is resumed or fails",
          "[entry]")
{
    entry_fixture fixture;
    fixture.submit();
    REQUIRE(fixture.actions_of<forward_request>().size() == 1);
    attempt_id const forwarded =
        fixture.actions_of<forward_request>()[0].attempt;
    fixture.chunk(forwarded, 0, false);
    fixture.entry.on_end({forwarded}, fixture.now, fixture.actions);
    CHECK(fixture.actions_of<deliver_end>().empty());
    REQUIRE(fixture.actions_of<start_attempt>().size() == 1);
    start_attempt const resumed = fixture.actions_of<start_attempt>()[0];
    CHECK(resumed.resume);
    CHECK(resumed.offset == 1);
    bool const had = GENERATE(true, false);
    if (had)
    {
        fixture.chunk(resumed.attempt, 1, true);
        fixture.entry.on_end({resumed.attempt}, fixture.now, fixture.actions);
        CHECK(fixture.actions_of<deliver_event>().size() == 2);
        CHECK(fixture.actions_of<deliver_end>().size() == 1);
        return;
    }
    fixture.entry.on_failure(
        {resumed.attempt, failure_stage::refused, 404, "", "", {}}, fixture.now,
        fixture.actions);
    CHECK(fixture.actions_of<deliver_end>().empty());
    REQUIRE(fixture.actions_of<deliver_error>().size() == 1);
    CHECK(fixture.actions_of<deliver_error>()[0].what.kind() ==
          error_kind::answer_cut);
}

// While the table is unreachable, a full worker cannot evict. Guards against
// sending a request to such a worker, where it would wait in vain, although its
// adapter is resident elsewhere. If it is resident nowhere, the request goes to
// the policy's first choice, whose owner reports that it cannot load.
TEST_CASE("a worker that cannot load the adapter is skipped", "[entry]")
{
    entry_fixture fixture;
    char const* expected = "w1";
    SECTION("the first choice can evict") {}
    SECTION("the first choice cannot evict")
    {
        fixture.put("w1", "b", false);
        expected = "w2";
    }
    SECTION("no worker can evict and the adapter is resident nowhere")
    {
        fixture.put("w1", "b", false);
        fixture.put("w2", "c", false);
    }
    fixture.submit();
    REQUIRE(fixture.actions_of<forward_request>().size() == 1);
    CHECK(fixture.actions_of<forward_request>()[0].worker ==
          worker_id(expected));
}

// A handover that a table outage interrupts leaves its worker without an owner.
// Guards against sending a request only to that worker until it fails, although
// another worker can serve it.
TEST_CASE("a worker that its listed owner does not own is left", "[entry]")
{
    entry_fixture fixture;
    fixture.submit();
    auto const forwarded = [&]
    { return fixture.actions_of<forward_request>(); };
    error const refused(error_kind::not_owner,
                        "this VM does not own the worker", ran::no, 1s);
    std::size_t misroutes = 0;
    while (forwarded().back().worker == worker_id("w1") && misroutes < 8)
    {
        attempt_id const attempt = forwarded().back().attempt;
        fixture.entry.on_failure(
            {attempt, failure_stage::refused, 0, "", "", refused}, fixture.now,
            fixture.actions);
        ++misroutes;
        fixture.now += 1s;
        fixture.entry.tick(fixture.now, fixture.actions);
        REQUIRE(fixture.actions_of<deliver_error>().empty());
        REQUIRE(forwarded().size() == misroutes + 1);
    }
    CHECK(forwarded().back().worker == worker_id("w2"));
    CHECK(misroutes <= 3);
}

// While the table is unreachable, a full worker stays as it is. Guards against
// trying one full worker after the other for an adapter that none can load.
TEST_CASE("a request fails at once if no worker can load its adapter",
          "[entry]")
{
    entry_fixture fixture;
    fixture.put("w1", "b", false);
    fixture.put("w2", "c", false);
    fixture.submit();
    REQUIRE(fixture.actions_of<forward_request>().size() == 1);
    fixture.fail_load();
    auto const failed = fixture.actions_of<deliver_error>();
    REQUIRE(failed.size() == 1);
    CHECK(failed.front().what.kind() == error_kind::load_failed);
    CHECK(failed.front().what.request_ran() == ran::no);
    CHECK(failed.front().what.retry_after() == 1s);
}

TEST_CASE("a failed load is retried at a worker that can load the adapter",
          "[entry]")
{
    entry_fixture fixture;
    bool const first_can_evict = GENERATE(false, true);
    CAPTURE(first_can_evict);
    fixture.put("w1", "b", first_can_evict);
    fixture.put("w2", "c", false);
    fixture.submit();
    REQUIRE(fixture.actions_of<forward_request>().size() == 1);
    fixture.put("w2", "c", !first_can_evict);
    fixture.fail_load();
    CHECK(fixture.actions_of<deliver_error>().empty());
    fixture.now += 1s;
    fixture.entry.tick(fixture.now, fixture.actions);
    CHECK(fixture.actions_of<forward_request>().size() == 2);
}

// The other worker was only busy, so it can still serve the request. Guards
// against taking a worker that was tried for one that cannot load.
TEST_CASE("a failed load is retried at a worker that was overloaded before",
          "[entry]")
{
    entry_fixture fixture;
    fixture.put("w1", "a", false);
    fixture.put("w2", "c", false);
    fixture.submit();
    REQUIRE(fixture.actions_of<forward_request>().size() == 1);
    fixture.fail(
        error(error_kind::overloaded, "the queue is too long", ran::no, 1s));
    fixture.now += 1s;
    fixture.entry.tick(fixture.now, fixture.actions);
    REQUIRE(fixture.actions_of<forward_request>().size() == 2);
    REQUIRE(fixture.actions_of<forward_request>().back().worker ==
            worker_id("w2"));
    fixture.fail_load();
    CHECK(fixture.actions_of<deliver_error>().empty());
    for (int tick = 0; tick < 2; ++tick)
    {
        fixture.now += 1s;
        fixture.entry.tick(fixture.now, fixture.actions);
    }
    REQUIRE(fixture.actions_of<forward_request>().size() == 3);
    CHECK(fixture.actions_of<forward_request>().back().worker ==
          worker_id("w1"));
}
