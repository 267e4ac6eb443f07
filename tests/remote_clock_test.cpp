#include "remote_clock.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{50s};

} // namespace

TEST_CASE("a quick answer bounds when a slow one was made", "[remote_clock]")
{
    remote_clock clock;
    CHECK(clock.made_at(1000ms, start, start + 4ms) == start);
    // Asked at once, answered three seconds later by the remote clock.
    CHECK(clock.made_at(4000ms, start + 1ms, start + 3100ms) == start + 3s);
}

// Guards against old data that counts as new because a VM was paused before it
// read the answer.
TEST_CASE("an answer read late keeps the age at which it was made",
          "[remote_clock]")
{
    remote_clock clock;
    clock.made_at(1000ms, start, start + 4ms);
    CHECK(clock.made_at(1500ms, start + 400ms, start + 9s) == start + 500ms);
}

TEST_CASE("an answer without a timestamp is as old as its question",
          "[remote_clock]")
{
    remote_clock clock;
    CHECK(clock.made_at(std::nullopt, start, start + 3s) == start);
}

// Guards against wrong timestamps from a clock that was reset or runs too fast.
TEST_CASE("a clock with impossible timestamps is recalibrated",
          "[remote_clock]")
{
    remote_clock clock;
    clock.made_at(1000ms, start, start + 4ms);
    CHECK(clock.made_at(90s, start + 1s, start + 1004ms) == start + 1s);
    CHECK(clock.made_at(500ms, start + 2s, start + 2004ms) == start + 2s);
}
