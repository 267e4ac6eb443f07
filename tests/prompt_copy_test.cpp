#include "prompt_copy.hpp"

#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t long_prompt = 2'000;
constexpr std::uint32_t shared_part = 1'900;

/// Two or more workers of this VM hold an adapter. Requests whose prompts share
/// a prefix go to one of them, the prefix's home by rendezvous hashing, while
/// it is free, and to another holder while the home is busy.
struct two_holders : scheduler_world
{
    explicit two_holders(std::size_t workers = 2) : scheduler_world(workers)
    {
        for (std::size_t each = 0; each < workers; ++each)
            load_adapter_at(each);
        begins_at_once = false;
        ticket_id const ticket = submit_with_prefix();
        home = worker_of(ticket);
        other = home == name(0) ? name(1) : name(0);
        end(ticket);
    }

    /// Loads the adapter at one worker by a request that may go nowhere else.
    void load_adapter_at(std::size_t worker)
    {
        std::set<worker_id> const leaving = draining;
        for (std::size_t each = 0; each < workers.size(); ++each)
            if (each != worker)
                draining.insert(name(each));
        list_all();
        ticket_id const ticket = submit_request("a1");
        run(400ms);
        REQUIRE(placed(ticket));
        scheduler.first_byte(ticket, now);
        end(ticket);
        draining = leaving;
        list_all();
    }

    ticket_id submit_with_prefix()
    {
        work_item item;
        item.prompt_tokens = long_prompt;
        item.prefix = {7, shared_part};
        ticket_id const ticket = submit(item, "a1");
        run(5ms);
        REQUIRE(placed(ticket));
        return ticket;
    }

    /// Sends two concurrent requests with the same prefix. Returns the worker
    /// from which the second, which goes to the other worker, copies its
    /// prompt; empty for none.
    worker_id copy_source()
    {
        run(1s);
        ticket_id const first = submit_with_prefix();
        ticket_id const second = submit_with_prefix();
        REQUIRE(worker_of(first) == home);
        REQUIRE(worker_of(second) == other);
        end(first);
        end(second);
        return prefix_source(second).id;
    }

    /// Restarts the worker without adapters, and loads the adapter again.
    void restart(worker_id const& worker, weights_version loaded)
    {
        start_times[worker] = worker_start(++last_start_);
        weights[worker] = loaded;
        workers[worker] = scripted_worker();
        list_all();
        for (std::size_t each = 0; each < workers.size(); ++each)
            if (name(each) == worker)
                load_adapter_at(each);
    }

    std::uint64_t copies(copy_decision decision) const
    {
        return scheduler.counts().prompt_copies.at(
            static_cast<std::size_t>(decision));
    }

    worker_id home;
    worker_id other;

private:
    std::uint64_t last_start_ = 1;
};

} // namespace

// Guards against an answer from a prompt that one version of the weights
// prefilled and another continued: a new version is declared, a worker restarts
// on it while the others keep the old one, and a request copies its prompt from
// another holder that was chosen by the adapter's name alone. Seen 1.6 s after
// the declaration: `prompt copied adapter=a6986 worker=i-b504dd9c63
// weights=...@2 from=i-65eed6da34 from_weights=...@1`.
TEST_CASE("a prompt is not copied from a worker with other weights",
          "[prompt_copy]")
{
    two_holders world;
    for (worker_id const& each : {world.home, world.other})
        world.start_times[each] = worker_start(1);
    world.list_all();
    REQUIRE(world.copy_source() == world.home);
    SECTION("the reader of the prompt has restarted")
    {
        world.restart(world.other, weights_version(2));
    }
    SECTION("the source of the copy has restarted")
    {
        world.restart(world.home, weights_version(2));
    }
    CHECK(world.copy_source().empty());
}

// Workers with the previous weights go on copying from each other while this VM
// knows that their incarnations last: a declared version does not change their
// KV caches.
TEST_CASE("workers with the same older weights copy while their incarnations "
          "are known",
          "[prompt_copy]")
{
    two_holders world;
    world.scheduler.on_release({base_model_id("base"), {}}, adapter_version(2),
                               world.now);
    CHECK(world.copy_source() == world.home);
    // Half of a load's time in the test world is 125 ms.
    world.workers_age = 200ms;
    CHECK(world.copy_source().empty());
}

// Guards against copies on stale registry data: a VM is cut off from the
// registry, a version may be declared and a worker restart on it unnoticed.
// Copies are allowed again once the declared versions or the workers'
// incarnations are known.
TEST_CASE("a VM that is cut off from the registry has no prompt copied",
          "[prompt_copy]")
{
    two_holders world;
    world.declarations_age = 10s;
    CHECK(world.copy_source() == world.home);
    world.workers_age = 10s;
    CHECK(world.copy_source().empty());
    world.declarations_age = {};
    CHECK(world.copy_source() == world.home);
}

// Guards against a copy between two versions of an adapter, one of which is
// outdated.
TEST_CASE("a prompt is not copied from an outdated copy of the adapter",
          "[prompt_copy]")
{
    two_holders world;
    world.scheduler.on_release({base_model_id("base"), adapter_id("a1")},
                               adapter_version(2), world.now);
    ticket_id const first = world.submit_with_prefix();
    ticket_id const second = world.submit_with_prefix();
    CHECK(world.prefix_source(first).id.empty());
    CHECK(world.prefix_source(second).id.empty());
}

// A worker crashes while it cannot reach the registry and restarts: its entry
// shows the previous incarnation, from which other VMs have prompts copied. Its
// owner learns of the restart from a report, and must not make it load newer
// weights before that entry is rewritten or has lapsed.
TEST_CASE("a restarted worker loads newer weights once its entry is current",
          "[prompt_copy]")
{
    scheduler_world world(1);
    worker_id const worker = scheduler_world::name(0);
    world.start_times[worker] = worker_start(1);
    world.list_all();
    bool const newer = GENERATE(true, false);
    bool const registry_known = GENERATE(true, false);
    world.declarations_age = registry_known ? 0s : 10s;
    if (newer)
        world.scheduler.on_release({base_model_id("base"), {}},
                                   adapter_version(2), world.now);
    worker_report begun;
    begun.started = worker_start(2);
    auto const model_loads = [&](duration span)
    {
        std::size_t loads = 0;
        for (time_point const until = world.now + span; world.now < until;
             world.now += 5ms)
        {
            world.scheduler.set_registry_timestamps(
                {world.now - world.declarations_age, world.now});
            for (placement_action const& each : world.scheduler.run(world.now))
                if (auto const* order = std::get_if<issue_order>(&each))
                    loads += order->order.adapter.empty();
                else if (std::holds_alternative<request_report>(each))
                    world.scheduler.on_report(worker, begun, world.now);
        }
        return loads;
    };
    world.scheduler.on_report(worker, begun, world.now);
    if (!newer && registry_known)
    {
        CHECK(model_loads(1s) == 1);
        return;
    }
    CHECK(model_loads(1s) == 0);
    SECTION("once its entry is rewritten")
    {
        world.start_times[worker] = worker_start(2);
        world.list_all();
        CHECK(model_loads(1s) == 1);
    }
    SECTION("once the previous incarnation's entry has lapsed")
    {
        CHECK(model_loads(5s) == 1);
    }
}

// A prefix's home has newer weights than two other holders of the adapter. For
// requests at these holders one of the two is the home.
TEST_CASE(
    "holders with the same weights copy among themselves if the home differs",
    "[prompt_copy]")
{
    two_holders world(3);
    worker_id const home = world.home;
    world.restart(home, weights_version(2));
    std::set<worker_id> sources;
    for (int count = 0; count < 4; ++count)
    {
        ticket_id const ticket = world.submit_with_prefix();
        if (world.worker_of(ticket) != home)
            sources.insert(world.prefix_source(ticket).id);
    }
    CHECK(sources.count(home) == 0);
    // The first of the two copies from none, the second from the first.
    CHECK(sources.size() == 2);
}

// Guards against a copy from the wrong worker: a worker that is gone is still
// listed for a while, and another worker has its address and newer weights.
TEST_CASE(
    "older KV caches are not copied from an address listed by two workers",
    "[prompt_copy]")
{
    two_holders world(3);
    world.weights[scheduler_world::name(2)] = weights_version(2);
    world.list_all();
    std::size_t const before = world.copies(copy_decision::address_shared);
    world.same_address = true;
    world.list_all();
    for (int count = 0; count < 4; ++count)
        world.submit_with_prefix();
    CHECK(world.copies(copy_decision::address_shared) > before);
}

TEST_CASE("a KV cache is valid only under the versions that computed it",
          "[prompt_copy]")
{
    constexpr std::chrono::seconds load_time{2};
    time_point const now{1h};
    weights_version const old_weights(3);
    weights_version const weights(4);
    adapter_version const adapter(7);
    newest_versions const newest{weights, adapter};
    registry_timestamps const current{now, now};
    auto const decide =
        [&](served_versions const& source, served_versions const& reader,
            registry_timestamps const& known, duration time_until_begin = {})
    {
        return decide_prompt_copy(source, reader, newest, known, load_time, now,
                                  now + time_until_begin);
    };
    served_versions const up_to_date{weights, adapter};
    served_versions const older{old_weights, adapter};
    CHECK(decide(up_to_date, up_to_date, current) == copy_decision::allowed);
    CHECK(decide(older, older, current) == copy_decision::allowed);
    CHECK(decide(older, up_to_date, current) == copy_decision::weights_differ);
    CHECK(decide(up_to_date, older, current) == copy_decision::weights_differ);
    CHECK(decide({{}, adapter}, up_to_date, current) ==
          copy_decision::weights_unknown);
    CHECK(decide({{}, adapter}, {{}, adapter}, current) ==
          copy_decision::weights_unknown);
    CHECK(decide({weights, {}}, up_to_date, current) ==
          copy_decision::adapter_differs);
    CHECK(decide(up_to_date, {weights, adapter_version(6)}, current) ==
          copy_decision::adapter_differs);
    registry_timestamps const workers_only{time_point(), now};
    registry_timestamps const declarations_only{now, time_point()};
    CHECK(decide(up_to_date, up_to_date, workers_only) ==
          copy_decision::allowed);
    CHECK(decide(up_to_date, up_to_date, declarations_only) ==
          copy_decision::allowed);
    CHECK(decide(older, older, workers_only) == copy_decision::allowed);
    CHECK(decide(older, older, declarations_only) ==
          copy_decision::registry_data_too_old);
    CHECK(decide(up_to_date, up_to_date, {}) ==
          copy_decision::registry_data_too_old);
    // Registry data is valid for half of a load's time; for older weights, no
    // incarnation may end before the request is expected to begin.
    CHECK(decide(older, older, current, 900ms) == copy_decision::allowed);
    CHECK(decide(older, older, current, 1s) ==
          copy_decision::registry_data_too_old);
    CHECK(decide(up_to_date, up_to_date, {now - 1s, now - 1s}) ==
          copy_decision::registry_data_too_old);
}
