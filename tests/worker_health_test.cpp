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

TEST_CASE("a worker that answers nothing is avoided", "[worker_health]")
{
    worker_health health;
    health.sent(start);
    CHECK_FALSE(health.is_avoided(start + 100ms));
    CHECK(health.is_avoided(start + 3s));
}

TEST_CASE("a worker that answers other requests does not count as silent",
          "[worker_health]")
{
    worker_health health;
    health.sent(start);
    for (int ms = 100; ms < 3000; ms += 100)
        answer(health, start + std::chrono::milliseconds(ms),
               send_outcome::served);
    CHECK_FALSE(health.is_avoided(start + 3s));
}

TEST_CASE("an unreachable worker is probed with one request first",
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

TEST_CASE("a single failure has little weight", "[worker_health]")
{
    worker_health health;
    answer(health, start, send_outcome::failed);
    CHECK(health.failure_share(start) < 0.1);
}

TEST_CASE("the share of failures decays without requests", "[worker_health]")
{
    worker_health health;
    for (int number = 0; number < 60; ++number)
        answer(health, start, send_outcome::failed);
    CHECK(health.failure_share(start + 40ms) > 0.9);
    CHECK(health.failure_share(start + 10s) < 0.05);
}

TEST_CASE("requests given up by this VM do not affect a worker's health",
          "[worker_health]")
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

// Guards against prompts that are prefilled twice: two long prompts keep a
// worker busy for 1.4 s before its first byte. If the worker counted as silent
// after its usual 0.3 s, all VMs would avoid it and send both prompts
// elsewhere.
TEST_CASE("a worker that prefills long prompts does not count as silent",
          "[worker_health]")
{
    worker_health health;
    answer(health, start - 1s, send_outcome::served);
    health.sent(start, 700ms);
    health.sent(start, 1400ms);
    CHECK_FALSE(health.is_avoided(start + 1500ms));
    CHECK_FALSE(health.is_avoided(start + 2s));
    CHECK(health.is_avoided(start + 6s));
}

TEST_CASE("a worker without long prompts soon counts as silent",
          "[worker_health]")
{
    worker_health health;
    answer(health, start - 1s, send_outcome::served);
    health.sent(start, 20ms);
    CHECK(health.is_avoided(start + 500ms));
}
