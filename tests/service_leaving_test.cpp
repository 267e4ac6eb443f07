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
    world.start_times[first] = worker_start(1);
    world.list_all();
    REQUIRE(placed(world));
    world.scheduler.on_leaving(world.entry(0), world.now);
    CHECK_FALSE(placed(world));
    world.start_times[first] = worker_start(2);
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
    world.start_times[first] = worker_start(1);
    backend_entry const before = world.entry(0);
    world.start_times[first] = worker_start(2);
    world.list_all();
    CHECK_FALSE(world.scheduler.on_leaving(before, world.now));
    CHECK(placed(world));
}

// Guards against a departure that a worker's next life inherits.
TEST_CASE("a report of the next life ends the departure",
          "[scheduler][leaving]")
{
    scheduler_world world(1);
    world.start_times[first] = worker_start(1);
    world.list_all();
    REQUIRE(placed(world));
    world.scheduler.on_leaving(world.entry(0), world.now);
    worker_report report;
    report.started = worker_start(2);
    world.workers[first] = {};
    world.scheduler.on_report(first, report, world.now);
    world.run(600ms);
    CHECK(placed(world));
}

TEST_CASE("a departure of an unknown life is forgotten", "[scheduler][leaving]")
{
    scheduler_world world(1);
    world.scheduler.on_leaving(world.entry(0), world.now);
    world.now += 15min;
    world.run(5ms);
    world.scheduler.set_backends({});
    world.list_all();
    world.own_all();
    world.run(600ms);
    CHECK(placed(world));
}

TEST_CASE("nothing is due at a worker that leaves in the middle of a load",
          "[scheduler][leaving]")
{
    scheduler_world world(2);
    ticket_id const asked = world.ask("a1");
    world.run(20ms);
    std::size_t const home = world.workers.at(first).held() > 0 ? 0 : 1;
    world.scheduler.on_leaving(world.entry(home), world.now);
    world.run(2s);
    CHECK(world.placed(asked));
    CHECK(world.scheduler.next_due() > world.now);
}

} // namespace mulberry::test
