// Workers that reject requests and ask this VM to back off.
#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

namespace mulberry::test
{
namespace
{

using namespace std::chrono_literals;

worker_id const first = scheduler_world::name(0);
worker_id const second = scheduler_world::name(1);

void request_backoff(scheduler_world& world, worker_id const& worker,
                     duration backoff)
{
    world.scheduler.on_backoff_request(worker, world.now + backoff, world.now);
}

bool placed_now(scheduler_world& world, ticket_id ticket)
{
    world.run(5ms);
    return world.placed(ticket);
}

/// Two workers that another VM owns.
struct other_owner_pair
{
    other_owner_pair()
    {
        world.owned_workers.clear();
        world.scheduler.set_owned_workers({});
        world.scheduler.set_owners(
            {{first, vm_id("vm-2")}, {second, vm_id("vm-2")}});
    }
    scheduler_world world{2};
};

} // namespace

TEST_CASE("a request is not sent to a worker in backoff", "[scheduler][rest]")
{
    scheduler_world world(2);
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    worker_id const home = world.worker_of(before);
    request_backoff(world, home, 3s);
    ticket_id const during = world.submit_request("a1");
    world.run(600ms);
    REQUIRE(world.placed(during));
    CHECK(world.worker_of(during) != home);
}

// Guards against losing a backoff when the worker's registry entry expires.
TEST_CASE("a worker that is listed again is still in backoff",
          "[scheduler][rest]")
{
    scheduler_world world(1);
    request_backoff(world, first, 3s);
    world.scheduler.set_backends({});
    world.list_all();
    world.own_all();
    ticket_id const during = world.submit_request("a1");
    world.run(100ms);
    CHECK_FALSE(world.placed(during));
}

// Guards against callers that wait until their deadline or retry too early.
TEST_CASE("Retry-After is the time until the first worker's backoff ends",
          "[scheduler][rest]")
{
    scheduler_world world(2);
    request_backoff(world, first, 3s);
    request_backoff(world, second, 2s);
    for (char const* adapter : {"a1", ""})
    {
        ticket_id const during = world.submit_request(adapter);
        world.run(0ms);
        REQUIRE(world.refused(during));
        CHECK(world.refusal(during).kind == error_kind::overloaded);
        CHECK(world.refusal(during).retry_after == 2s);
    }
}

TEST_CASE("a request waits for the end of a short backoff", "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    request_backoff(world, first, 200ms);
    ticket_id const during = world.submit_request("a1");
    REQUIRE_FALSE(placed_now(world, during));
    CHECK(world.scheduler.next_due() <= world.now + 200ms);
    world.run(200ms);
    CHECK(world.placed(during));
}

// Guards against a busy loop of decisions while a worker is in backoff.
TEST_CASE("no wakeup is due before the end of a backoff", "[scheduler][rest]")
{
    scheduler_world world(1);
    world.submit_request("a1");
    world.run(20ms);
    request_backoff(world, first, 3s);
    world.run(600ms);
    CHECK(world.scheduler.next_due() >= world.now + 1s);
}

// Guards against orders and report requests to a worker in backoff.
TEST_CASE("a worker in backoff gets no orders", "[scheduler][rest]")
{
    scheduler_world world(1);
    request_backoff(world, first, 3s);
    world.submit_peer_request("a1", 0);
    world.run(1s);
    CHECK(world.workers.at(first).loads_of("a1") == 0);
}

// Guards against a grant by an owner that the worker did not ask to back off.
TEST_CASE("a grant for a worker in backoff is not used", "[scheduler][rest]")
{
    other_owner_pair pair;
    ticket_id const asked = pair.world.submit_request("a1");
    pair.world.run(5ms);
    REQUIRE(pair.world.grant_requests().size() == 1);
    request_backoff(pair.world, first, 3s);
    CHECK_FALSE(pair.world.scheduler.on_grant_answer(
        asked, grant_outcome::granted, {first, {}}, pair.world.now));
}

TEST_CASE("a grant request excludes the workers that asked this VM to back off",
          "[scheduler][rest]")
{
    other_owner_pair pair;
    request_backoff(pair.world, second, 3s);
    pair.world.submit_request("a1");
    pair.world.run(5ms);
    REQUIRE(pair.world.grant_requests().size() == 1);
    CHECK(pair.world.grant_requests().front().worker == first);
    CHECK(pair.world.grant_requests().front().excluded ==
          std::set<worker_id>{second});
}

// Guards against a VM that applies its own backoff to other VMs' requests.
TEST_CASE("another VM is granted a copy at a worker in backoff",
          "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    request_backoff(world, first, 3s);
    ticket_id const theirs = world.submit_peer_request("a1", 0);
    world.run(5ms);
    CHECK(world.granted(theirs));
}

// Guards against decisions every millisecond until a slot is free.
TEST_CASE(
    "no immediate wakeup is due after a backoff that a request waited for",
    "[scheduler][rest]")
{
    scheduler_world world(1, 4, 1);
    request_backoff(world, first, 200ms);
    ticket_id const served = world.submit_request("");
    ticket_id const waits = world.submit_request("");
    world.run(300ms);
    REQUIRE(world.placed(served));
    REQUIRE_FALSE(world.placed(waits));
    REQUIRE_FALSE(world.refused(waits));
    CHECK(world.scheduler.next_due() > world.now);
}

TEST_CASE("an expired refusal of an owner causes no wakeup while all workers "
          "are in backoff",
          "[scheduler][rest]")
{
    other_owner_pair pair;
    scheduler_world& world = pair.world;
    ticket_id const asked = world.submit_request("a1");
    world.run(5ms);
    REQUIRE(world.grant_requests().size() == 1);
    world.scheduler.on_grant_answer(asked, grant_outcome::refused, {},
                                    world.now);
    world.run(350ms);
    request_backoff(world, first, 240ms);
    request_backoff(world, second, 240ms);
    world.run(200ms);
    REQUIRE_FALSE(world.refused(asked));
    CHECK(world.scheduler.next_due() > world.now);
}

// Guards against a rejection with a Retry-After unrelated to the backoff.
TEST_CASE("a request with little time left waits for a short backoff",
          "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.submit_request("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    request_backoff(world, first, 100ms);
    ticket_id const during = world.submit_request("a1", 0, 2s);
    world.run(5ms);
    CHECK_FALSE(world.refused(during));
    world.run(200ms);
    CHECK(world.placed(during));
}

// Guards against waiting because a worker of another model is not in backoff.
TEST_CASE("only workers with the request's model delay its rejection",
          "[scheduler][rest]")
{
    scheduler_world world(2);
    world.scheduler.set_owned_workers({});
    backend_entry other = world.entry(1);
    other.models.front().model = base_model_id("other");
    world.scheduler.set_backends({world.entry(0), other});
    request_backoff(world, first, 3s);
    ticket_id const during = world.submit_request("");
    world.run(0ms);
    REQUIRE(world.refused(during));
    CHECK(world.refusal(during).retry_after == 3s);
}

// Guards against a Retry-After after which no worker can serve the request.
TEST_CASE(
    "an unreachable worker is ignored when the end of backoffs is computed",
    "[scheduler][rest]")
{
    scheduler_world world(2);
    ticket_id const lost = world.submit_request("");
    world.run(5ms);
    worker_id const dead = world.worker_of(lost);
    world.end(lost, send_outcome::unreachable);
    request_backoff(world, dead == first ? second : first, 3s);
    ticket_id const during = world.submit_request("");
    world.run(0ms);
    REQUIRE(world.refused(during));
    CHECK(world.refusal(during).retry_after == 3s);
}

} // namespace mulberry::test
