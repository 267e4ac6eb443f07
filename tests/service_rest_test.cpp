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

void request_backoff(scheduler_world& world, worker_id const& worker,
                     duration rest)
{
    world.scheduler.on_backoff_request(worker, world.now + rest, world.now);
}

bool placed_now(scheduler_world& world, ticket_id ticket)
{
    world.run(5ms);
    return world.placed(ticket);
}

/// Its two workers are another VM's.
struct other_owner_pair
{
    other_owner_pair()
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
    request_backoff(world, home, 3s);
    ticket_id const during = world.ask("a1");
    world.run(600ms);
    REQUIRE(world.placed(during));
    CHECK(world.worker_of(during) != home);
}

// Guards against a rest that is forgotten as a worker's entry lapses.
TEST_CASE("a worker that is listed anew still rests", "[scheduler][rest]")
{
    scheduler_world world(1);
    request_backoff(world, first, 3s);
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
    request_backoff(world, first, 3s);
    request_backoff(world, second, 2s);
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
    request_backoff(world, first, 200ms);
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
    request_backoff(world, first, 3s);
    world.run(600ms);
    CHECK(world.scheduler.next_due() >= world.now + 1s);
}

// Guards against orders and questions to a worker that wants nothing.
TEST_CASE("a worker that rests is given no order", "[scheduler][rest]")
{
    scheduler_world world(1);
    request_backoff(world, first, 3s);
    world.ask_for_peer("a1", 0);
    world.run(1s);
    CHECK(world.workers.at(first).loads_of("a1") == 0);
}

// Guards against a grant by an owner whom the worker did not ask for rest.
TEST_CASE("a grant for a worker that rests is not used", "[scheduler][rest]")
{
    other_owner_pair pair;
    ticket_id const asked = pair.world.ask("a1");
    pair.world.run(5ms);
    REQUIRE(pair.world.grant_requests().size() == 1);
    request_backoff(pair.world, first, 3s);
    CHECK_FALSE(pair.world.scheduler.on_grant_answer(
        asked, grant_outcome::granted, {first, {}}, pair.world.now));
}

TEST_CASE("an owner is told which workers asked this VM for rest",
          "[scheduler][rest]")
{
    other_owner_pair pair;
    request_backoff(pair.world, second, 3s);
    pair.world.ask("a1");
    pair.world.run(5ms);
    REQUIRE(pair.world.grant_requests().size() == 1);
    CHECK(pair.world.grant_requests().front().worker == first);
    CHECK(pair.world.grant_requests().front().excluded ==
          std::set<worker_id>{second});
}

// Guards against a VM that keeps its own rest for the requests of others.
TEST_CASE("another VM may use a copy at a worker that rests",
          "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.ask("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    request_backoff(world, first, 3s);
    ticket_id const theirs = world.ask_for_peer("a1", 0);
    world.run(5ms);
    CHECK(world.granted(theirs));
}

// Guards against a loop that decides every millisecond until a slot is free.
TEST_CASE("nothing is due at once after a rest that was waited for",
          "[scheduler][rest]")
{
    scheduler_world world(1, 4, 1);
    request_backoff(world, first, 200ms);
    ticket_id const served = world.ask("");
    ticket_id const waits = world.ask("");
    world.run(300ms);
    REQUIRE(world.placed(served));
    REQUIRE_FALSE(world.placed(waits));
    REQUIRE_FALSE(world.refused(waits));
    CHECK(world.scheduler.next_due() > world.now);
}

TEST_CASE("an owner's no that is over is not due while all workers rest",
          "[scheduler][rest]")
{
    other_owner_pair pair;
    scheduler_world& world = pair.world;
    ticket_id const asked = world.ask("a1");
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

// Guards against a refusal with a time that has nothing to do with the rest.
TEST_CASE("a request with little time left waits for a short rest",
          "[scheduler][rest]")
{
    scheduler_world world(1);
    ticket_id const before = world.ask("a1");
    world.run(300ms);
    REQUIRE(world.placed(before));
    request_backoff(world, first, 100ms);
    ticket_id const during = world.ask("a1", 0, 2s);
    world.run(5ms);
    CHECK_FALSE(world.refused(during));
    world.run(200ms);
    CHECK(world.placed(during));
}

// Guards against waiting because a worker of another model does not rest.
TEST_CASE("only workers with the request's model count", "[scheduler][rest]")
{
    scheduler_world world(2);
    world.scheduler.set_grants({});
    backend_entry other = world.entry(1);
    other.models.front().model = base_model_id("other");
    world.scheduler.set_backends({world.entry(0), other});
    request_backoff(world, first, 3s);
    ticket_id const during = world.ask("");
    world.run(0ms);
    REQUIRE(world.refused(during));
    CHECK(world.refusal(during).retry_after == 3s);
}

// Guards against a time to come back at which nobody can serve.
TEST_CASE("a worker that cannot be reached does not end the wait for one that "
          "rests",
          "[scheduler][rest]")
{
    scheduler_world world(2);
    ticket_id const lost = world.ask("");
    world.run(5ms);
    worker_id const dead = world.worker_of(lost);
    world.end(lost, send_outcome::unreachable);
    request_backoff(world, dead == first ? second : first, 3s);
    ticket_id const during = world.ask("");
    world.run(0ms);
    REQUIRE(world.refused(during));
    CHECK(world.refusal(during).retry_after == 3s);
}

} // namespace mulberry::test
