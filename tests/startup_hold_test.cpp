#include "startup_hold.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const started(100s);
startup_limits const limits{500ms, 800ms, 3s};

} // namespace

// All VMs are killed and restart; requests arrive before the configuration is
// known. Requests of the first half second are held until it is known.
TEST_CASE("requests right after the start are held for a moment",
          "[start_hold]")
{
    startup_hold const hold(limits, started);
    CHECK(hold.hold_until(started, 5s) == started + 500ms);
    CHECK(hold.hold_until(started + 300ms, 5s) == started + 500ms);
    CHECK(hold.hold_until(started + 300ms, std::nullopt) == started + 500ms);
    CHECK(hold.hold_until(started, 1s) == started + 250ms);
}

// The store stays down: when this VM can serve is unknown, so no request is
// held.
TEST_CASE("later requests are rejected at once", "[start_hold]")
{
    startup_hold const hold(limits, started);
    CHECK(hold.hold_until(started + 500ms, 5s) == started + 500ms);
    CHECK(hold.hold_until(started + 7s, 5s) == started + 7s);
}

TEST_CASE("the retry delay equals the duration of the outage so far",
          "[start_hold]")
{
    startup_hold const hold(limits, started);
    CHECK(hold.retry_after(started + 10ms) == 800ms);
    CHECK(hold.retry_after(started + 1500ms) == 1500ms);
    CHECK(hold.retry_after(started + 60s) == 3s);
}
