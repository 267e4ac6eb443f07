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

/// Two workers or more of this VM hold an adapter. Requests whose prompts begin
/// with the same text go to one of them, the home of that beginning, while it
/// is free, and to the other when the home is busy.
struct two_readers : scheduler_world
{
    explicit two_readers(std::size_t workers = 2) : scheduler_world(workers)
    {
        for (std::size_t each = 0; each < workers; ++each)
            load_at(each);
        begins_at_once = false;
        ticket_id const ticket = ask_alike();
        home = worker_of(ticket);
        other = home == name(0) ? name(1) : name(0);
        end(ticket);
    }

    /// The adapter is loaded there, as requests that may go nowhere else have
    /// it.
    void load_at(std::size_t worker)
    {
        std::set<worker_id> const leaving = draining;
        for (std::size_t each = 0; each < workers.size(); ++each)
            if (each != worker)
                draining.insert(name(each));
        list_all();
        ticket_id const ticket = ask("a1");
        run(400ms);
        REQUIRE(placed(ticket));
        scheduler.first_byte(ticket, now);
        end(ticket);
        draining = leaving;
        list_all();
    }

    ticket_id ask_alike()
    {
        work_item item;
        item.prompt_tokens = long_prompt;
        item.prefix = {7, shared_part};
        ticket_id const ticket = submit(item, "a1");
        run(5ms);
        REQUIRE(placed(ticket));
        return ticket;
    }

    /// From where the second of two such requests at a time, which goes to the
    /// other worker, copies its prompt; empty for nowhere.
    worker_id copied_from()
    {
        run(1s);
        ticket_id const first = ask_alike();
        ticket_id const second = ask_alike();
        REQUIRE(worker_of(first) == home);
        REQUIRE(worker_of(second) == other);
        end(first);
        end(second);
        return prefix_source(second).id;
    }

    /// The worker starts again, empty, and is given the adapter again.
    void restart(worker_id const& worker, weights_version loaded)
    {
        lives[worker] = worker_start(++last_start_);
        weights[worker] = loaded;
        workers[worker] = scripted_worker();
        list_all();
        for (std::size_t each = 0; each < workers.size(); ++each)
            if (name(each) == worker)
                load_at(each);
    }

    std::uint64_t copies(copy_decision verdict) const
    {
        return scheduler.counts().prompt_copies.at(
            static_cast<std::size_t>(verdict));
    }

    worker_id home;
    worker_id other;

private:
    std::uint64_t last_start_ = 1;
};

} // namespace

// A caller gets an answer made from a prompt that one version of the weights
// read, and continued by another. A version of the weights is named; a worker
// starts again and loads it, while the others keep the one before. A request
// that goes to it names another holder of the adapter to copy its prompt from,
// chosen by the adapter's name alone: `prompt copied adapter=a6986
// worker=i-b504dd9c63 weights=...@2 from=i-65eed6da34 from_weights=...@1`, 1.6
// s after the version was named.
TEST_CASE("a prompt is not copied from a worker with other weights",
          "[prompt_copy]")
{
    two_readers world;
    for (worker_id const& each : {world.home, world.other})
        world.lives[each] = worker_start(1);
    world.list_all();
    REQUIRE(world.copied_from() == world.home);
    SECTION("the one that reads the prompt has started again")
    {
        world.restart(world.other, weights_version(2));
    }
    SECTION("the one that keeps it has")
    {
        world.restart(world.home, weights_version(2));
    }
    CHECK(world.copied_from().empty());
}

// Workers with the version before go on copying from each other for as long as
// this VM knows of their lives: a version that was named changes nothing in
// what they keep.
TEST_CASE(
    "workers with the same older weights copy while their lives are known",
    "[prompt_copy]")
{
    two_readers world;
    world.scheduler.on_release({base_model_id("base"), {}}, adapter_version(2),
                               world.now);
    CHECK(world.copied_from() == world.home);
    // Half of a load's time in the test world is 125 ms.
    world.workers_age = 200ms;
    CHECK(world.copied_from().empty());
}

// A VM is cut off from the registry. A version may have been named, and a
// worker started again on it, without its hearing: it has no prompt copied
// until it knows again what is named or which workers live.
TEST_CASE("a VM that is cut off from the registry has no prompt copied",
          "[prompt_copy]")
{
    two_readers world;
    world.declarations_age = 10s;
    CHECK(world.copied_from() == world.home);
    world.workers_age = 10s;
    CHECK(world.copied_from().empty());
    world.declarations_age = {};
    CHECK(world.copied_from() == world.home);
}

// The same with a version of an adapter: one of its two copies is the one
// before.
TEST_CASE("a prompt is not copied from an outdated copy of the adapter",
          "[prompt_copy]")
{
    two_readers world;
    world.scheduler.on_release({base_model_id("base"), adapter_id("a1")},
                               adapter_version(2), world.now);
    ticket_id const first = world.ask_alike();
    ticket_id const second = world.ask_alike();
    CHECK(world.prefix_source(first).id.empty());
    CHECK(world.prefix_source(second).id.empty());
}

// A worker has crashed where it cannot reach the registry, and starts again:
// its entry tells of the life before, and other VMs have prompts copied from
// it. Its owner knows better from a report, and would have it load newer
// weights.
TEST_CASE("a worker that starts again loads newer weights once it is listed",
          "[prompt_copy]")
{
    scheduler_world world(1);
    worker_id const worker = scheduler_world::name(0);
    world.lives[worker] = worker_start(1);
    world.list_all();
    bool const newer = GENERATE(true, false);
    bool const informed = GENERATE(true, false);
    world.declarations_age = informed ? 0s : 10s;
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
            world.scheduler.set_registry_moment(
                {world.now - world.declarations_age, world.now});
            for (placement_action const& each : world.scheduler.run(world.now))
                if (auto const* order = std::get_if<give_order>(&each))
                    loads += order->order.adapter.empty();
                else if (std::holds_alternative<ask_report>(each))
                    world.scheduler.on_report(worker, begun, world.now);
        }
        return loads;
    };
    world.scheduler.on_report(worker, begun, world.now);
    if (!newer && informed)
    {
        CHECK(model_loads(1s) == 1);
        return;
    }
    CHECK(model_loads(1s) == 0);
    SECTION("when its entry is written anew")
    {
        world.lives[worker] = worker_start(2);
        world.list_all();
        CHECK(model_loads(1s) == 1);
    }
    SECTION("or the entry of the life before has lapsed by now")
    {
        CHECK(model_loads(5s) == 1);
    }
}

// The home of a beginning has newer weights than two others that hold the
// adapter. Requests at these have a home of their own among them.
TEST_CASE("holders with the same weights copy beside a home with others",
          "[prompt_copy]")
{
    two_readers world(3);
    worker_id const home = world.home;
    world.restart(home, weights_version(2));
    std::set<worker_id> sources;
    for (int count = 0; count < 4; ++count)
    {
        ticket_id const ticket = world.ask_alike();
        if (world.worker_of(ticket) != home)
            sources.insert(world.prefix_source(ticket).id);
    }
    CHECK(sources.count(home) == 0);
    // The first of the two copies from nowhere, the second from the first.
    CHECK(sources.size() == 2);
}

// A worker is gone and listed for a while yet; another one has its address and
// newer weights.
TEST_CASE("older memory is not copied from an address that two workers list",
          "[prompt_copy]")
{
    two_readers world(3);
    world.weights[scheduler_world::name(2)] = weights_version(2);
    world.list_all();
    std::size_t const before = world.copies(copy_decision::address_shared);
    world.same_address = true;
    world.list_all();
    for (int count = 0; count < 4; ++count)
        world.ask_alike();
    CHECK(world.copies(copy_decision::address_shared) > before);
}

TEST_CASE("memory of a prompt is of use under the versions that made it",
          "[prompt_copy]")
{
    constexpr std::chrono::seconds load_time{2};
    time_point const now{1h};
    weights_version const old_weights(3);
    weights_version const weights(4);
    adapter_version const adapter(7);
    newest_versions const newest{weights, adapter};
    registry_timestamps const current{now, now};
    auto const judged =
        [&](served_versions const& source, served_versions const& reader,
            registry_timestamps const& known, duration until_it_begins = {})
    {
        return decide_prompt_copy(source, reader, newest, known, load_time, now,
                          now + until_it_begins);
    };
    served_versions const up_to_date{weights, adapter};
    served_versions const old_pair{old_weights, adapter};
    CHECK(judged(up_to_date, up_to_date, current) == copy_decision::allowed);
    CHECK(judged(old_pair, old_pair, current) == copy_decision::allowed);
    CHECK(judged(old_pair, up_to_date, current) ==
          copy_decision::weights_differ);
    CHECK(judged(up_to_date, old_pair, current) ==
          copy_decision::weights_differ);
    CHECK(judged({{}, adapter}, up_to_date, current) ==
          copy_decision::weights_unknown);
    CHECK(judged({{}, adapter}, {{}, adapter}, current) ==
          copy_decision::weights_unknown);
    CHECK(judged({weights, {}}, up_to_date, current) ==
          copy_decision::adapter_differs);
    CHECK(judged(up_to_date, {weights, adapter_version(6)}, current) ==
          copy_decision::adapter_differs);
    registry_timestamps const workers_only{time_point(), now};
    registry_timestamps const declarations_only{now, time_point()};
    CHECK(judged(up_to_date, up_to_date, workers_only) ==
          copy_decision::allowed);
    CHECK(judged(up_to_date, up_to_date, declarations_only) ==
          copy_decision::allowed);
    CHECK(judged(old_pair, old_pair, workers_only) == copy_decision::allowed);
    CHECK(judged(old_pair, old_pair, declarations_only) ==
          copy_decision::registry_data_too_old);
    CHECK(judged(up_to_date, up_to_date, {}) ==
          copy_decision::registry_data_too_old);
    // What is known holds for half of a load's time, and the old weights only
    // while no life can have ended by the time that the request begins.
    CHECK(judged(old_pair, old_pair, current, 900ms) == copy_decision::allowed);
    CHECK(judged(old_pair, old_pair, current, 1s) ==
          copy_decision::registry_data_too_old);
    CHECK(judged(up_to_date, up_to_date, {now - 1s, now - 1s}) ==
          copy_decision::registry_data_too_old);
}
