// Sends to silent workers that go on beside another send of their request.
#include "scheduler_world.hpp"
#include "worker_memory.hpp"

#include <catch2/catch.hpp>

namespace mulberry::test
{
namespace
{

using namespace std::chrono_literals;

ticket_id const kept(1U << 20U);

} // namespace

// Guards against a silent worker that counts as empty while it works.
TEST_CASE("a send that is kept under another ticket holds its slot until it "
          "ends",
          "[scheduler][silence]")
{
    scheduler_world world(1, 4, 1);
    ticket_id const sent = world.submit_request("a1");
    world.run(400ms);
    REQUIRE(world.placed(sent));
    world.scheduler.move_sent(sent, kept);
    CHECK(world.scheduler.counts().sent == 1);
    // The request's own ticket is free for another send.
    world.end(sent);
    CHECK(world.scheduler.counts().sent == 1);
    world.end(kept, send_outcome::silent);
    CHECK(world.scheduler.counts().sent == 0);
}

TEST_CASE("a kept send that goes on is accounted for as before",
          "[scheduler][silence]")
{
    scheduler_world world(1, 4, 1);
    ticket_id const sent = world.submit_request("a1");
    world.run(400ms);
    REQUIRE(world.placed(sent));
    world.scheduler.move_sent(sent, kept);
    world.scheduler.move_sent(kept, sent);
    world.end(kept);
    CHECK(world.scheduler.counts().sent == 1);
    world.end(sent);
    CHECK(world.scheduler.counts().sent == 0);
    ticket_id const next = world.submit_request("a1");
    world.run(400ms);
    CHECK(world.placed(next));
}

// Guards against tokens that stay reserved at a worker for ever.
TEST_CASE("a kept send releases its memory", "[scheduler][silence]")
{
    worker_memory memory;
    worker_id const worker("w1");
    memory.reserve(worker, ticket_id(1), {100, {}});
    memory.move(ticket_id(1), kept);
    memory.release(ticket_id(1));
    CHECK(memory.held(worker) == 100);
    memory.release(kept);
    CHECK(memory.held(worker) == 0);
}

} // namespace mulberry::test
