#include "startup_hold.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const started(100s);
startup_limits const limits{500ms, 800ms, 3s};

} // namespace

// All VMs are killed and come back; their callers are there before the
// configuration is. Those of the first half second are kept until it is known.
TEST_CASE("what arrives right after the start is kept for a moment",
          "[start_hold]")
{
    startup_hold const hold(limits, started);
    CHECK(hold.hold_until(started, 5s) == started + 500ms);
    CHECK(hold.hold_until(started + 300ms, 5s) == started + 500ms);
    CHECK(hold.hold_until(started + 300ms, std::nullopt) == started + 500ms);
    CHECK(hold.hold_until(started, 1s) == started + 250ms);
}

// The store stays away. Nothing is known of when this VM can serve, so nobody
// is kept.
TEST_CASE("what arrives later is turned away at once", "[start_hold]")
{
    startup_hold const hold(limits, started);
    CHECK(hold.hold_until(started + 500ms, 5s) == started + 500ms);
    CHECK(hold.hold_until(started + 7s, 5s) == started + 7s);
}

TEST_CASE("callers come back after as long as the absence has lasted",
          "[start_hold]")
{
    startup_hold const hold(limits, started);
    CHECK(hold.retry_after(started + 10ms) == 800ms);
    CHECK(hold.retry_after(started + 1500ms) == 1500ms);
    CHECK(hold.retry_after(started + 60s) == 3s);
}
