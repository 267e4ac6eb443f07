// Late requests when other decisions change: fetches that are slow no more, and
// objectives that are turned off.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

/// So long that one such load raises the mean of the loads' times to that of a
/// busy weight store.
constexpr auto slow_load = 1s;

work_item item_with_objective(time_point objective_at)
{
    work_item item;
    item.objective_at = objective_at;
    return item;
}

} // namespace

// Guards against a late request that waits for other requests' events after the
// fetches that it must not slow down have ended, and is then rejected.
TEST_CASE("a late request is examined when fetches are not slow any more",
          "[objective_queue]")
{
    scheduler_world world(1);
    world.scheduler.schedule_by_objective(true);
    ticket_id const first = world.submit_request("a1");
    world.run(20ms);
    world.now += slow_load;
    world.run(5ms);
    REQUIRE(world.placed(first));
    world.end(first);

    ticket_id const late =
        world.submit(item_with_objective(world.now - 1ms), "a2");
    world.run(100ms);
    scripted_worker const& worker = world.workers.begin()->second;
    REQUIRE(worker.loads_of("a2") == 0);
    REQUIRE_FALSE(world.refused(late));
    CHECK(world.scheduler.next_due() <= world.now + 1s);
    world.now = world.scheduler.next_due();
    world.run(0ms);
    CHECK(worker.loads_of("a2") == 1);
    CHECK_FALSE(world.refused(late));
}

// Guards against requests that stay behind others after the operator has turned
// scheduling by objective off.
TEST_CASE("requests wait in their order after objectives are turned off",
          "[objective_queue]")
{
    scheduler_world world(1, 4, 1);
    world.scheduler.schedule_by_objective(true);
    ticket_id const running = world.submit_request("");
    world.run(5ms);
    REQUIRE(world.placed(running));
    ticket_id const late =
        world.submit(item_with_objective(world.now - 1ms), "");
    ticket_id const timely =
        world.submit(item_with_objective(world.now + 1h), "");
    world.run(5ms);
    REQUIRE(world.scheduler.counts().demoted_late == 1);
    world.scheduler.schedule_by_objective(false);
    world.end(running);
    world.run(5ms);
    CHECK(world.placed(late));
    CHECK_FALSE(world.placed(timely));
}
