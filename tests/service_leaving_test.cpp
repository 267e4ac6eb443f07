// Workers that say in an answer that they leave.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

namespace mulberry::test
{
namespace
{

using namespace std::chrono_literals;

worker_id const first = scheduler_world::name(0);

bool placed(scheduler_world& world)
{
    ticket_id const asked = world.ask("a1");
    world.run(400ms);
    return world.placed(asked);
}

} // namespace

TEST_CASE("a worker that says it leaves gets nothing more",
          "[scheduler][leaving]")
{
    scheduler_world world(1);
    REQUIRE(placed(world));
    CHECK(world.scheduler.on_leaving(world.entry(0), world.now));
    CHECK_FALSE(world.scheduler.on_leaving(world.entry(0), world.now));
    CHECK_FALSE(placed(world));
}

// Guards against a list that is behind the worker's own word.
TEST_CASE("a worker that leaves is not used because it is listed",
          "[scheduler][leaving]")
{
    scheduler_world world(1);
    REQUIRE(placed(world));
    world.scheduler.on_leaving(world.entry(0), world.now);
    world.list_all();
    CHECK_FALSE(placed(world));
    world.scheduler.set_backends({});
    world.list_all();
    world.own_all();
    CHECK_FALSE(placed(world));
}

TEST_CASE("a worker's next life has not said that it leaves",
          "[scheduler][leaving]")
{
    scheduler_world world(1);
    world.lives[first] = worker_start(1);
    world.list_all();
    REQUIRE(placed(world));
    world.scheduler.on_leaving(world.entry(0), world.now);
    CHECK_FALSE(placed(world));
    world.lives[first] = worker_start(2);
    world.workers[first] = {};
    world.list_all();
    world.own_all();
    world.run(1s);
    CHECK(placed(world));
}

// Guards against an answer of an earlier life that comes late.
TEST_CASE("what an earlier life said does not count for the next",
          "[scheduler][leaving]")
{
    scheduler_world world(1);
    world.lives[first] = worker_start(1);
    backend_entry const before = world.entry(0);
    world.lives[first] = worker_start(2);
    world.list_all();
    CHECK_FALSE(world.scheduler.on_leaving(before, world.now));
    CHECK(placed(world));
}

} // namespace mulberry::test
