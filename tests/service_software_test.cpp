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

} // namespace mulberry::test
