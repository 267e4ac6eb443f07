#include "engine_model.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// Steps of 5 ms, 40 tokens read a millisecond, nothing else counts.
engine_settings plain_settings()
{
    engine_settings settings;
    settings.batch = 2;
    settings.queue = 2;
    settings.step = 5ms;
    settings.step_a_request = 0ms;
    settings.step_a_thousand_tokens = 0ms;
    settings.read_tokens_a_ms = 40;
    settings.chunk = 400;
    settings.adapter_slots = 2;
    settings.fetch = 100ms;
    settings.fetch_of_copy = 10ms;
    settings.fetch_width = 1;
    return settings;
}

worker_order load(std::string const& adapter, std::uint64_t sequence,
                  order_kind kind = order_kind::load)
{
    worker_order order;
    order.kind = kind;
    order.model = base_model_id("base");
    order.adapter = adapter_id(adapter);
    order.expected_sequence = sequence;
    return order;
}

struct one_engine
{
    engine_settings settings = plain_settings();
    fetch_gate gate;
    engine_model engine{settings, gate};
    time_point now{};

    engine_request request(std::uint64_t id, std::uint32_t prompt,
                           std::uint32_t answer, int priority = 0)
    {
        engine_request made;
        made.id = id;
        made.prompt_tokens = prompt;
        made.answer_tokens = answer;
        made.priority = priority;
        return made;
    }
    /// Runs until a request comes that far; how long that took.
    duration until(std::uint64_t id, engine_progress::kind what)
    {
        time_point const began = now;
        for (int step = 0; step < 10'000; ++step)
        {
            REQUIRE(engine.step_ends_at() != never);
            now = engine.step_ends_at();
            for (engine_progress const& each : engine.advance(now))
                if (each.request == id && each.what == what)
                    return now - began;
        }
        return never - began;
    }
};

constexpr auto first = engine_progress::kind::first_token;
constexpr auto ended = engine_progress::kind::ended;

} // namespace

TEST_CASE("a prompt is read in pieces, then a token comes each step",
          "[engine_model]")
{
    one_engine world;
    CHECK(world.engine.submit(world.request(1, 800, 3), world.now) ==
          admission::taken);
    // Two pieces of 10 ms and two steps.
    CHECK(world.until(1, first) == 30ms);
    CHECK(world.until(1, ended) == 10ms);
    CHECK(world.engine.step_ends_at() == never);
    CHECK(world.engine.counts().tokens_read == 800);
}

TEST_CASE("a long prompt delays the tokens of others", "[engine_model]")
{
    one_engine world;
    world.engine.submit(world.request(1, 40, 10), world.now);
    world.until(1, first);
    world.engine.submit(world.request(2, 4000, 1), world.now);
    // Nine steps, in eight of which 400 tokens of the other are read.
    CHECK(world.until(1, ended) == 9 * 5ms + 8 * 10ms);
}

TEST_CASE("the most urgent request is admitted first, and a full queue refuses",
          "[engine_model]")
{
    one_engine world;
    auto const submit = [&world](std::uint64_t id, int priority)
    {
        return world.engine.submit(
            world.request(id, 400, id == 2 ? 60 : 20, priority), world.now);
    };
    CHECK(submit(1, 1) == admission::taken);
    CHECK(submit(2, 1) == admission::taken);
    // Both run from the second step on; two more may wait.
    world.until(2, first);
    CHECK(submit(3, 1) == admission::taken);
    CHECK(submit(4, 0) == admission::taken);
    CHECK(world.engine.submit(world.request(5, 400, 1), world.now) ==
          admission::full);
    world.until(1, ended);
    world.until(4, first);
    CHECK(world.engine.waiting() == 1);
}

TEST_CASE("a beginning that was read is not read again", "[engine_model]")
{
    one_engine world;
    engine_request request = world.request(1, 1200, 1);
    request.prefix = {7, 800};
    world.engine.submit(request, world.now);
    duration const whole = world.until(1, ended);
    request.id = 2;
    world.engine.submit(request, world.now);
    CHECK(whole - world.until(2, ended) == 30ms);
    CHECK(world.engine.counts().tokens_read == 1600);
    CHECK(world.engine.counts().tokens_read_again == 0);
    // Another adapter's is another.
    CHECK(world.engine.take(load("a", 0), world.now) ==
          order_outcome::accepted);
    world.now += 100ms;
    request.id = 3;
    request.adapter = "a";
    CHECK(world.engine.submit(request, world.now) == admission::taken);
    CHECK(world.until(3, ended) == whole);
}

TEST_CASE("adapters are fetched, kept as copies and make way", "[engine_model]")
{
    one_engine world;
    engine_request request = world.request(1, 40, 1);
    request.adapter = "a";
    CHECK(world.engine.submit(request, world.now) == admission::lacks_adapter);
    CHECK(world.engine.take(load("a", 0), world.now) ==
          order_outcome::accepted);
    CHECK(world.engine.take(load("b", 0), world.now) ==
          order_outcome::conflict);
    // Two at once take twice as long.
    CHECK(world.engine.take(load("b", 1), world.now) ==
          order_outcome::accepted);
    world.now += 100ms;
    CHECK(world.engine.submit(request, world.now) == admission::taken);
    CHECK(world.engine.take(load("c", 2), world.now) ==
          order_outcome::conflict);
    // In use: it goes with its last request.
    CHECK(world.engine.take(load("a", 2, order_kind::unload), world.now) ==
          order_outcome::accepted);
    world.until(1, ended);
    CHECK(world.engine.take(load("a", 3, order_kind::unload), world.now) ==
          order_outcome::already_applied);
    CHECK(world.engine.take(load("a", 3), world.now) ==
          order_outcome::accepted);
    world.now += 10ms;
    request.id = 2;
    CHECK(world.engine.submit(request, world.now) == admission::taken);
    CHECK(world.engine.counts().fetches == 2);
    CHECK(world.engine.counts().fetches_of_copies == 1);
}

TEST_CASE("a crash loses what runs and what is loaded", "[engine_model]")
{
    one_engine world;
    world.engine.take(load("a", 0), world.now);
    world.engine.submit(world.request(1, 400, 5), world.now);
    CHECK(world.engine.crash(world.now) == std::vector<std::uint64_t>{1});
    CHECK(world.gate.under_way == 0);
    CHECK(world.engine.submit(world.request(2, 40, 1), world.now) ==
          admission::down);
    CHECK(world.engine.take(load("a", 0), world.now) == order_outcome::unknown);
    world.engine.start();
    worker_report const report =
        world.engine.report(base_model_id("base"), world.now);
    CHECK(report.sequence == 0);
    CHECK(report.models.at(base_model_id("base")).empty());
    CHECK(report.loading_adapters.empty());
}
