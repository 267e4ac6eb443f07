#include "worker_memory.hpp"

#include "scheduler_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace mulberry;
using namespace mulberry::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t capacity = 212'302;
constexpr std::uint64_t usable = capacity - capacity / 10;
constexpr std::size_t batch = 24;
/// A request of 9,190 tokens with the expected half of its answer.
constexpr std::uint32_t prompt = 8'190;
constexpr std::uint32_t answer = 2'000;
constexpr std::uint64_t request_tokens = 9'190;
/// Requests of this size that fit into the usable memory.
constexpr std::size_t fitting = usable / request_tokens;

worker_id const one("w1");
worker_id const two("w2");

memory_need need_of(std::uint32_t prompt_tokens, std::uint32_t answer_tokens,
                    shared_prefix const& prefix = {},
                    std::string const& adapter = "a1")
{
    return expected_need(
        model_target{base_model_id("base"), adapter_id(adapter)}, prompt_tokens,
        answer_tokens, prefix);
}

work_item item_of(std::uint32_t prompt_tokens, std::uint32_t answer_tokens)
{
    work_item item;
    item.prompt_tokens = prompt_tokens;
    item.answer_tokens = answer_tokens;
    return item;
}

/// Workers of this VM with known memory, the first of which has adapter `a1`.
struct memory_world : scheduler_world
{
    explicit memory_world(std::uint64_t memory = capacity,
                          std::size_t count = 1)
        : scheduler_world(count, 4, batch)
    {
        config.engine->memory_tokens = memory;
        scheduler.configure(config);
        scheduler.schedule_by_objective(true);
        ticket_id const first = submit_request("a1");
        run(400ms);
        end(first);
    }
    ticket_id submit_usual() { return submit(item_of(prompt, answer), "a1"); }
    ticket_id submit_usual_peer()
    {
        work_item item = item_of(prompt, answer);
        item.requested_worker = name(0);
        return submit(std::move(item), "a1");
    }
    std::uint64_t held() const { return scheduler.counts().worker_tokens_held; }
    /// Submits requests until the worker's memory is full; returns those that
    /// were placed.
    std::vector<ticket_id> fill()
    {
        std::vector<ticket_id> sent;
        for (std::size_t number = 0; number < fitting; ++number)
            sent.push_back(submit_usual());
        run(5ms);
        for (ticket_id const ticket : sent)
            REQUIRE(placed(ticket));
        return sent;
    }
};

} // namespace

// Guards against a crash of the worker: 24 requests of 9,190 tokens fit into
// the batch, but not into the memory.
TEST_CASE("requests that do not fit into the memory are held back",
          "[worker_memory]")
{
    worker_memory memory;
    memory_need const need = need_of(prompt, answer);
    CHECK(need.own_tokens == request_tokens);
    std::uint64_t number = 0;
    while (memory.fits(one, need, capacity))
    {
        memory.reserve(one, ticket_id(++number), need);
        REQUIRE(number < batch);
    }
    CHECK(number == fitting);
    CHECK(memory.held(one) == fitting * request_tokens);
    CHECK(memory.fits(two, need, capacity));
    CHECK(memory.fits(one, need, 0));
    memory.release(ticket_id(1));
    CHECK(memory.fits(one, need, capacity));
}

// Guards against tokens that stay counted, or are released twice, when an end
// is reported again or for an earlier incarnation.
TEST_CASE("each request's tokens are released once", "[worker_memory]")
{
    worker_memory memory;
    memory.reserve(one, ticket_id(1), need_of(1000, 200));
    memory.reserve(one, ticket_id(1), need_of(1000, 200));
    memory.reserve(one, ticket_id(2), need_of(500, 0));
    CHECK(memory.held(one) == 1600);
    memory.release(ticket_id(1));
    memory.release(ticket_id(1));
    CHECK(memory.held(one) == 500);
    memory.reset(one);
    CHECK(memory.held(one) == 0);
    memory.reserve(one, ticket_id(3), need_of(100, 0));
    memory.release(ticket_id(2));
    CHECK(memory.held(one) == 100);
}

// Guards against counting a cached prefix for each of its requests, which would
// hold back requests that fit; and against sharing between adapters, whose
// caches differ, which would overfill the worker.
TEST_CASE("a shared prefix counts once per worker and adapter",
          "[worker_memory]")
{
    worker_memory memory;
    shared_prefix const prefix{7, 800};
    memory.reserve(one, ticket_id(1), need_of(1000, 0, prefix));
    memory.reserve(one, ticket_id(2), need_of(1100, 0, prefix));
    CHECK(memory.held(one) == 800 + 200 + 300);
    memory.reserve(one, ticket_id(3), need_of(1000, 0, prefix, "a2"));
    CHECK(memory.held(one) == 1300 + 1000);
    memory.reserve(two, ticket_id(4), need_of(1000, 0, prefix));
    CHECK(memory.held(two) == 1000);
    memory.release(ticket_id(1));
    CHECK(memory.held(one) == 1100 + 1000);
    memory.release(ticket_id(2));
    CHECK(memory.held(one) == 1000);
    memory.release(ticket_id(3));
    CHECK(memory.held(one) == 0);
}

// Guards against a sum that drifts, whatever the order of ends.
TEST_CASE("all ends in any order leave nothing held", "[worker_memory]")
{
    std::mt19937 random(1);
    worker_memory memory;
    std::vector<ticket_id> open;
    for (std::uint64_t number = 1; number <= 20'000; ++number)
    {
        memory_need const need = need_of(
            random() % 20'000, random() % 4'000,
            {random() % 5, static_cast<std::uint32_t>(random() % 9'000)});
        worker_id const& worker = random() % 2 == 0 ? one : two;
        bool const empty = memory.held(worker) == 0;
        if (memory.fits(worker, need, capacity))
        {
            memory.reserve(worker, ticket_id(number), need);
            open.push_back(ticket_id(number));
            REQUIRE((empty || memory.held(worker) <= usable));
        }
        if (open.empty() || random() % 3 == 0)
            continue;
        std::swap(open[random() % open.size()], open.back());
        memory.release(open.back());
        open.pop_back();
    }
    for (ticket_id const ticket : open)
        memory.release(ticket);
    CHECK(memory.held(one) == 0);
    CHECK(memory.held(two) == 0);
}

// Guards against requests that can never run: one that is larger than the
// usable memory must be sent to some worker.
TEST_CASE("a request larger than the memory needs a worker of its own",
          "[worker_memory]")
{
    worker_memory memory;
    memory_need const large = need_of(300'000, 0);
    CHECK(memory.fits(one, large, capacity));
    memory.reserve(one, ticket_id(1), need_of(10, 0));
    CHECK_FALSE(memory.fits(one, large, capacity));
    memory.release(ticket_id(1));
    memory.reserve(one, ticket_id(2), large);
    CHECK_FALSE(memory.fits(one, need_of(10, 0), capacity));
}

TEST_CASE("a claim keeps memory free until it is cleared", "[worker_memory]")
{
    worker_memory memory;
    memory.reserve(one, ticket_id(1), need_of(100'000, 0));
    CHECK(memory.fits(one, need_of(50'000, 0), capacity));
    memory.claim(one, need_of(60'000, 0));
    memory.claim(one, need_of(1, 0));
    CHECK_FALSE(memory.fits(one, need_of(50'000, 0), capacity));
    CHECK(memory.fits(one, need_of(30'000, 0), capacity));
    memory.clear_claims();
    CHECK(memory.fits(one, need_of(50'000, 0), capacity));
}

// Guards against a worker that crashes out of memory.
TEST_CASE("a request waits until the worker has memory for it",
          "[worker_memory]")
{
    memory_world world;
    std::vector<ticket_id> const sent = world.fill();
    CHECK(world.held() == fitting * request_tokens);
    ticket_id const waits = world.submit_usual();
    world.run(20ms);
    CHECK_FALSE(world.placed(waits));
    CHECK_FALSE(world.refused(waits));
    world.end(sent.front());
    world.run(5ms);
    CHECK(world.placed(waits));
}

// Guards against memory that stays counted after some kind of end.
TEST_CASE("memory of own requests is released at every kind of end",
          "[worker_memory]")
{
    memory_world world;
    std::vector<ticket_id> const sent = world.fill();
    auto const outcome = GENERATE(
        send_outcome::served, send_outcome::failed, send_outcome::full,
        send_outcome::not_held, send_outcome::unreachable, send_outcome::broken,
        send_outcome::silent, send_outcome::abandoned);
    world.end(sent.front(), outcome);
    CHECK(world.held() == (fitting - 1) * request_tokens);
    for (ticket_id const ticket : sent)
        world.end(ticket, outcome);
    CHECK(world.held() == 0);
}

// Guards against memory that stays counted when a request on a superseded
// version is withdrawn before it starts.
TEST_CASE("memory of a withdrawn request is released", "[worker_memory]")
{
    memory_world world;
    world.begins_at_once = false;
    work_item item = item_of(prompt, answer);
    item.streams = true;
    ticket_id const ticket = world.submit(item, "a1", 60s);
    world.run(5ms);
    REQUIRE(world.placed(ticket));
    world.scheduler.on_release({base_model_id("base"), adapter_id("a1")},
                               adapter_version(3), world.now);
    world.run(10s);
    REQUIRE(world.withdrawn(ticket));
    CHECK(world.held() == request_tokens);
    world.end(ticket, send_outcome::abandoned);
    CHECK(world.held() == 0);
}

TEST_CASE("memory of a request that is not sent is released", "[worker_memory]")
{
    memory_world world;
    std::vector<ticket_id> const sent = world.fill();
    world.scheduler.not_sent(sent.front(), world.now);
    CHECK(world.held() == (fitting - 1) * request_tokens);
}

// The relay ends a grant at the time limit of its request if the asking VM
// reports nothing, as `abandoned`.
TEST_CASE("a grant reserves memory until it is returned or ends",
          "[worker_memory]")
{
    memory_world world;
    std::vector<ticket_id> granted;
    for (std::size_t number = 0; number <= fitting; ++number)
        granted.push_back(world.submit_usual_peer());
    world.run(5ms);
    CHECK(std::count_if(granted.begin(), granted.end(),
                        [&world](ticket_id ticket) {
                            return world.granted(ticket);
                        }) == std::ptrdiff_t{fitting});
    CHECK(world.held() == fitting * request_tokens);
    CHECK_FALSE(world.granted(granted.back()));
    auto const outcome =
        GENERATE(send_outcome::served, send_outcome::abandoned);
    world.end(granted.front(), outcome);
    world.run(5ms);
    CHECK(world.granted(granted.back()));
    for (ticket_id const ticket : granted)
        world.end(ticket, outcome);
    CHECK(world.held() == 0);
}

// Guards against requests of an incarnation that is gone taking the memory of
// the next, and against releasing the next one's tokens at their ends.
TEST_CASE("a restarted worker holds nothing", "[worker_memory]")
{
    memory_world world;
    world.start_times[world.name(0)] = worker_start(1);
    world.list_all();
    std::vector<ticket_id> const sent = world.fill();
    world.start_times[world.name(0)] = worker_start(2);
    world.workers[world.name(0)].restart();
    world.list_all();
    CHECK(world.held() == 0);
    for (ticket_id const ticket : sent)
        world.end(ticket, send_outcome::unreachable);
    CHECK(world.held() == 0);
}

// Guards against a change of decisions where memory is unknown or requests are
// not scheduled by objective.
TEST_CASE("without a known memory only the batch limits", "[worker_memory]")
{
    bool const by_objective = GENERATE(true, false);
    memory_world world(by_objective ? 0 : capacity);
    world.scheduler.schedule_by_objective(by_objective);
    std::vector<ticket_id> sent;
    for (std::size_t number = 0; number <= batch; ++number)
        sent.push_back(world.submit_usual());
    world.run(5ms);
    CHECK(std::count_if(sent.begin(), sent.end(),
                        [&world](ticket_id ticket) {
                            return world.placed(ticket);
                        }) == std::ptrdiff_t{batch});
}

// Guards against limits that stay when the configuration turns the switch off.
TEST_CASE("memory limits nothing once objectives no longer decide",
          "[worker_memory]")
{
    memory_world world;
    world.fill();
    world.scheduler.schedule_by_objective(false);
    ticket_id const next = world.submit_usual();
    world.run(5ms);
    CHECK(world.placed(next));
}

// Guards against overfilling a worker whose registry entry is missing for a
// moment while its requests go on.
TEST_CASE("a worker that is listed again still holds its requests",
          "[worker_memory]")
{
    memory_world world;
    std::vector<ticket_id> const sent = world.fill();
    world.scheduler.set_backends({});
    world.run(5ms);
    CHECK(world.held() == 0);
    world.list_all();
    world.own_all();
    CHECK(world.held() == fitting * request_tokens);
    for (ticket_id const ticket : sent)
        world.end(ticket);
    CHECK(world.held() == 0);
}

// Guards against starvation of large requests: while smaller ones arrive all
// the time, they would take all memory that becomes free.
TEST_CASE("a large request gets memory before smaller ones that came later",
          "[worker_memory]")
{
    memory_world world;
    std::vector<ticket_id> const sent = world.fill();
    std::deque<ticket_id> open(sent.begin(), sent.end());
    ticket_id const large = world.submit(item_of(60'000, 0), "a1");
    for (int step = 0; step < 20 && !world.placed(large); ++step)
    {
        ticket_id const small = world.submit_usual();
        world.run(5ms);
        if (world.placed(small))
            open.push_back(small);
        world.end(open.front());
        open.pop_front();
        world.run(5ms);
    }
    CHECK(world.placed(large));
    CHECK(world.held() <= usable);
}
