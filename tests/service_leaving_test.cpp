// Workers that announce their shutdown in an answer.
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
    ticket_id const asked = world.submit_request("a1");
    world.run(400ms);
    return world.placed(asked);
}

} // namespace

TEST_CASE("a worker that announces its shutdown gets no more requests",
          "[scheduler][leaving]")
{
    scheduler_world world(1);
    REQUIRE(placed(world));
    CHECK(world.scheduler.on_leaving(world.entry(0), world.now));
    CHECK_FALSE(world.scheduler.on_leaving(world.entry(0), world.now));
    CHECK_FALSE(placed(world));
}

// Guards against a stale registry that lists the worker after its announcement.
TEST_CASE(
    "a worker that announced its shutdown is not used although it is listed",
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

TEST_CASE("an announced shutdown does not apply to the next incarnation",
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

// Guards against a late answer of an earlier incarnation.
TEST_CASE("a late announcement of an earlier incarnation is ignored",
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

// Guards against applying an announced shutdown to the next incarnation.
TEST_CASE("a report of the next incarnation ends the announced shutdown",
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

TEST_CASE("an announced shutdown of an unknown incarnation expires",
          "[scheduler][leaving]")
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

TEST_CASE(
    "a worker that shuts down during a load does not cause immediate wakeups",
    "[scheduler][leaving]")
{
    scheduler_world world(2);
    ticket_id const asked = world.submit_request("a1");
    world.run(20ms);
    std::size_t const home = world.workers.at(first).held() > 0 ? 0 : 1;
    world.scheduler.on_leaving(world.entry(home), world.now);
    world.run(2s);
    CHECK(world.placed(asked));
    CHECK(world.scheduler.next_due() > world.now);
}

} // namespace mulberry::test
