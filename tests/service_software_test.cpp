// Requests that may run at some versions of the workers' software only.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

namespace mulberry::test
{
namespace
{

using namespace std::chrono_literals;

software_version const v1("v1");
software_version const v2("v2");

/// Worker 0 has v1, all others v2.
struct version_world : scheduler_world
{
    version_world() : scheduler_world(3)
    {
        software[name(0)] = v1;
        software[name(1)] = v2;
        software[name(2)] = v2;
        list_all();
    }

    ticket_id submit_for(software_version const& version,
                         std::string const& adapter = "a1")
    {
        work_item item;
        item.software = std::set{version};
        return submit(std::move(item), adapter);
    }
};

/// Worker 0 has v1 and runs requests for as many adapters as it has slots for.
struct full_version_world : version_world
{
    full_version_world()
    {
        for (std::string const adapter : {"a1", "a2", "a3", "a4"})
            running.push_back(submit_for(v1, adapter));
        run(1s);
        for (ticket_id const each : running)
            REQUIRE(placed(each));
    }

    ticket_id continue_at(software_version const& version,
                          std::string const& adapter)
    {
        work_item item;
        item.software = std::set{version};
        item.continues_stream = true;
        return submit(std::move(item), adapter);
    }

    std::vector<ticket_id> running;
};

} // namespace

TEST_CASE("a request runs at a worker of its version", "[scheduler][software]")
{
    version_world world;
    for (std::string const adapter : {"", "a1", "a2", "a3"})
    {
        ticket_id const at_v1 = world.submit_for(v1, adapter);
        ticket_id const at_v2 = world.submit_for(v2, adapter);
        world.run(400ms);
        REQUIRE(world.placed(at_v1));
        CHECK(world.worker_of(at_v1) == world.name(0));
        REQUIRE(world.placed(at_v2));
        CHECK(world.worker_of(at_v2) != world.name(0));
    }
}

// Guards against holding a request that no listed worker may run.
TEST_CASE("a request without a worker of its version is rejected at once",
          "[scheduler][software]")
{
    version_world world;
    for (std::string const adapter : {"", "a1"})
    {
        ticket_id const asked =
            world.submit_for(software_version("v3"), adapter);
        world.run(10ms);
        CHECK(world.refused(asked));
    }
}

// Guards against waiting for a load at a worker that starts again with another
// version under its id.
TEST_CASE("a worker that restarts with another version is not waited for",
          "[scheduler][software]")
{
    version_world world;
    worker_id const restarted = world.name(0);
    world.start_times[restarted] = worker_start(1);
    world.list_all();
    ticket_id const asked = world.submit_for(v1);
    world.run(1ms);
    CHECK_FALSE(world.placed(asked));
    world.start_times[restarted] = worker_start(2);
    world.software[restarted] = v2;
    world.workers[restarted] = {};
    world.list_all();
    world.run(1s);
    CHECK_FALSE(world.placed(asked));
    CHECK(world.refused(asked));
}

// Guards against using a grant for a worker of another version.
TEST_CASE("a grant for a worker of another version is given back",
          "[scheduler][software]")
{
    version_world world;
    world.scheduler.set_owned_workers({});
    world.scheduler.set_owners({{world.name(0), vm_id("vm-b")},
                                {world.name(1), vm_id("vm-b")},
                                {world.name(2), vm_id("vm-b")}});
    ticket_id const asked = world.submit_for(v1);
    world.run(1ms);
    REQUIRE(world.grant_requests().size() == 1);
    CHECK(world.grant_requests().front().worker == world.name(0));
    CHECK(world.grant_requests().front().software == std::set{v1});
    CHECK_FALSE(world.scheduler.on_grant_answer(
        asked, grant_outcome::granted, {world.name(1), {}}, world.now));
}

// Guards against streams that only a few workers can go on with, and that wait
// behind new ones.
TEST_CASE("a stream that goes on has the next room at its version",
          "[scheduler][software]")
{
    full_version_world world;
    ticket_id const fresh = world.submit_for(v1, "a5");
    world.run(10ms);
    ticket_id const goes_on = world.continue_at(v1, "a6");
    world.run(10ms);
    world.end(world.running.front());
    world.run(400ms);
    CHECK(world.placed(goes_on));
    CHECK_FALSE(world.placed(fresh));
}

// Guards against the same where requests that any worker can run keep the
// adapters of the few workers in use.
TEST_CASE("requests that run elsewhere leave the room to a stream that goes on",
          "[scheduler][software]")
{
    full_version_world world;
    ticket_id const goes_on = world.continue_at(v1, "a6");
    world.run(10ms);
    std::vector<ticket_id> elsewhere;
    for (std::string const adapter : {"a1", "a2", "a3", "a4"})
        elsewhere.push_back(world.submit_request(adapter));
    world.run(10ms);
    for (ticket_id const each : world.running)
        world.end(each);
    world.run(600ms);
    CHECK(world.placed(goes_on));
    for (ticket_id const each : elsewhere)
        CHECK(world.placed(each));
}

// Guards against an owner that refuses what no other owner has room for.
TEST_CASE("an owner lets another VM's stream wait for room at its version",
          "[scheduler][software]")
{
    full_version_world world;
    work_item item;
    item.software = std::set{v1};
    item.continues_stream = true;
    item.requested_worker = world.name(0);
    ticket_id const goes_on = world.submit(std::move(item), "a6");
    world.run(1s);
    CHECK_FALSE(world.refused(goes_on));
    world.end(world.running.front());
    world.run(400ms);
    CHECK(world.granted(goes_on));
}

// Guards against an owner that counts as silent since a stream waits there.
TEST_CASE("an owner answers for a stream before it counts as silent",
          "[scheduler][software]")
{
    full_version_world world;
    work_item item;
    item.software = std::set{v1};
    item.continues_stream = true;
    item.requested_worker = world.name(0);
    ticket_id const goes_on = world.submit(std::move(item), "a6", 20s);
    world.run(1400ms);
    CHECK_FALSE(world.refused(goes_on));
    world.run(400ms);
    CHECK(world.refused(goes_on));
}

// Guards against streams that take the place of others although any worker can
// go on with them.
TEST_CASE("a stream that any worker can go on with waits its turn",
          "[scheduler][software]")
{
    full_version_world world;
    for (std::size_t const number : {1, 2})
        world.software[world.name(number)] = v1;
    world.list_all();
    ticket_id const first = world.submit_request("a5", 0);
    ticket_id const goes_on = world.continue_at(v1, "a6");
    world.run(400ms);
    REQUIRE(world.placement_order().size() >= 2);
    CHECK(world.placed(goes_on));
    CHECK(world.placed_at(first) <= world.placed_at(goes_on));
}

} // namespace mulberry::test
