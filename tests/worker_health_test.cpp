#include "worker_health.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

void answer(worker_health& health, time_point at, send_outcome outcome)
{
    health.sent(at);
    health.first_byte(at, at + 30ms);
    health.ended(outcome, at, at + 40ms);
}

} // namespace

TEST_CASE("a worker that leaves everything unanswered is avoided",
          "[worker_health]")
{
    worker_health health;
    health.sent(start);
    CHECK_FALSE(health.is_avoided(start + 100ms));
    CHECK(health.is_avoided(start + 3s));
}

TEST_CASE("a worker that answers others is slow, not silent", "[worker_health]")
{
    worker_health health;
    health.sent(start);
    for (int ms = 100; ms < 3000; ms += 100)
        answer(health, start + std::chrono::milliseconds(ms),
               send_outcome::served);
    CHECK_FALSE(health.is_avoided(start + 3s));
}

TEST_CASE("a worker that cannot be reached is tried with one request first",
          "[worker_health]")
{
    worker_health health;
    health.sent(start);
    health.ended(send_outcome::unreachable, start, start + 1ms);
    CHECK(health.is_avoided(start + 1ms));
    CHECK_FALSE(health.may_probe(start + 2ms));
    CHECK(health.may_probe(start + 2s));
    health.on_probe_sent(start + 2s);
    health.sent(start + 2s);
    CHECK_FALSE(health.may_probe(start + 2s));
    health.first_byte(start + 2s, start + 2030ms);
    CHECK_FALSE(health.is_avoided(start + 2030ms));
}

TEST_CASE("one failure is not a sick worker", "[worker_health]")
{
    worker_health health;
    answer(health, start, send_outcome::failed);
    CHECK(health.failure_share(start) < 0.1);
}

TEST_CASE("failures fade while a worker is left alone", "[worker_health]")
{
    worker_health health;
    for (int number = 0; number < 60; ++number)
        answer(health, start, send_outcome::failed);
    CHECK(health.failure_share(start + 40ms) > 0.9);
    CHECK(health.failure_share(start + 10s) < 0.05);
}

TEST_CASE("what this VM gave up says nothing of the worker", "[worker_health]")
{
    worker_health health;
    for (int number = 0; number < 20; ++number)
    {
        health.sent(start);
        health.ended(send_outcome::abandoned, start, start + 1ms);
    }
    CHECK_FALSE(health.is_avoided(start + 2ms));
    CHECK(health.failure_share(start) == 0);
    CHECK(health.outstanding() == 0);
}

// Two long prompts are sent to a worker, which reads them for 1.4 s before it
// says anything. Taken for silent after its usual 0.3 s, it would be left by
// all, and both prompts would be read a second time elsewhere.
TEST_CASE("a worker that reads long prompts is not silent", "[worker_health]")
{
    worker_health health;
    answer(health, start - 1s, send_outcome::served);
    health.sent(start, 700ms);
    health.sent(start, 1400ms);
    CHECK_FALSE(health.is_avoided(start + 1500ms));
    CHECK_FALSE(health.is_avoided(start + 2s));
    CHECK(health.is_avoided(start + 6s));
}

TEST_CASE("a worker with nothing long to read is soon silent",
          "[worker_health]")
{
    worker_health health;
    answer(health, start - 1s, send_outcome::served);
    health.sent(start, 20ms);
    CHECK(health.is_avoided(start + 500ms));
}
