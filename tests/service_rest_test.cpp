// Workers that turn requests away and ask this VM for rest.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

namespace mulberry::test
{
namespace
{

using namespace std::chrono_literals;

worker_id const first = scheduler_world::name(0);
worker_id const second = scheduler_world::name(1);

void ask_rest(scheduler_world& world, worker_id const& worker, duration rest)
{
    world.scheduler.on_rest(worker, world.now + rest, world.now);
}

bool placed_now(scheduler_world& world, ticket_id ticket)
{
    world.run(5ms);
    return world.placed(ticket);
}

/// Its two workers are another VM's.
struct foreign_pair
{
    foreign_pair()
    {
        world.grants.clear();
        world.scheduler.set_grants({});
        world.scheduler.set_owners(
            {{first, vm_id("vm-2")}, {second, vm_id("vm-2")}});
    }
    scheduler_world world{2};
};

} // namespace

TEST_CASE("a request does not go to a worker that rests", "[scheduler][rest]")
{
    scheduler_world world(2);
    ticket_id const before = world.ask("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    worker_id const home = world.worker_of(before);
    ask_rest(world, home, 3s);
    ticket_id const during = world.ask("a1");
    world.run(600ms);
    REQUIRE(world.placed(during));
    CHECK(world.worker_of(during) != home);
}

// Guards against a rest that is forgotten as a worker's entry lapses.
TEST_CASE("a worker that is listed anew still rests", "[scheduler][rest]")
{
    scheduler_world world(1);
    ask_rest(world, first, 3s);
    world.scheduler.set_backends({});
    world.list_all();
    world.own_all();
    ticket_id const during = world.ask("a1");
    world.run(100ms);
    CHECK_FALSE(world.placed(during));
}

// Guards against callers that wait for their deadline, or come back too early.
TEST_CASE("a caller is told when the first worker takes requests again",
          "[scheduler][rest]")
{
    scheduler_world world(2);
    ask_rest(world, first, 3s);
    ask_rest(world, second, 2s);
    for (char const* adapter : {"a1", ""})
    {
        ticket_id const during = world.ask(adapter);
        world.run(0ms);
        REQUIRE(world.refused(during));
        CHECK(world.refusal(during).kind == error_kind::overloaded);
        CHECK(world.refusal(during).retry_after == 2s);
    }
}

TEST_CASE("the end of a short rest is waited for", "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.ask("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    ask_rest(world, first, 200ms);
    ticket_id const during = world.ask("a1");
    REQUIRE_FALSE(placed_now(world, during));
    CHECK(world.scheduler.next_due() <= world.now + 200ms);
    world.run(200ms);
    CHECK(world.placed(during));
}

// Guards against a loop that decides again and again while a worker rests.
TEST_CASE("nothing is due before the end of a rest", "[scheduler][rest]")
{
    scheduler_world world(1);
    world.ask("a1");
    world.run(20ms);
    ask_rest(world, first, 3s);
    world.run(600ms);
    CHECK(world.scheduler.next_due() >= world.now + 1s);
}

// Guards against orders and questions to a worker that wants nothing.
TEST_CASE("a worker that rests is given no order", "[scheduler][rest]")
{
    scheduler_world world(1);
    ask_rest(world, first, 3s);
    world.ask_for_peer("a1", 0);
    world.run(1s);
    CHECK(world.workers.at(first).loads_of("a1") == 0);
}

// Guards against a grant by an owner whom the worker did not ask for rest.
TEST_CASE("a grant for a worker that rests is not used", "[scheduler][rest]")
{
    foreign_pair pair;
    ticket_id const asked = pair.world.ask("a1");
    pair.world.run(5ms);
    REQUIRE(pair.world.asks().size() == 1);
    ask_rest(pair.world, first, 3s);
    CHECK_FALSE(pair.world.scheduler.on_owner(asked, ask_outcome::granted,
                                              {first, {}}, pair.world.now));
}

TEST_CASE("an owner is told which workers asked this VM for rest",
          "[scheduler][rest]")
{
    foreign_pair pair;
    ask_rest(pair.world, second, 3s);
    pair.world.ask("a1");
    pair.world.run(5ms);
    REQUIRE(pair.world.asks().size() == 1);
    CHECK(pair.world.asks().front().worker == first);
    CHECK(pair.world.asks().front().excluded == std::set<worker_id>{second});
}

// Guards against a VM that keeps its own rest for the requests of others.
TEST_CASE("another VM may use a copy at a worker that rests",
          "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.ask("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    ask_rest(world, first, 3s);
    ticket_id const theirs = world.ask_for_peer("a1", 0);
    world.run(5ms);
    CHECK(world.granted(theirs));
}

} // namespace mulberry::test
