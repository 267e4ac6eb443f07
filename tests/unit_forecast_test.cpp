#include "unit_forecast.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{100s};

} // namespace

TEST_CASE("without a refusal nothing is forecast", "[unit_forecast]")
{
    unit_forecast forecast;
    forecast.on_units(100, start);
    CHECK_FALSE(forecast.is_short(start));
    CHECK_FALSE(forecast.available_at(50, start));
}

// Guards against a shortage that is assumed right after the machine's start,
// when the clock begins.
TEST_CASE("without a refusal there was no shortage", "[unit_forecast]")
{
    CHECK_FALSE(unit_forecast().was_short(time_point(500ms)));
}

TEST_CASE("units are expected at the rate at which pools gave them",
          "[unit_forecast]")
{
    unit_forecast forecast;
    forecast.on_units(100, start);
    forecast.on_units(100, start + 500ms);
    forecast.on_short(start + 700ms, start + 600ms);
    CHECK(forecast.per_second(start + 600ms) == Approx(200));
    CHECK(forecast.available_at(50, start + 600ms) == start + 850ms);
    // Units given more than a second ago no longer count.
    CHECK(forecast.per_second(start + 1100ms) == Approx(100));
}

// Guards against a VM that refuses everything after its pools have run dry and
// so never asks them again.
TEST_CASE("a VM that got no units asks its pools", "[unit_forecast]")
{
    unit_forecast forecast;
    forecast.on_short(start + 50ms, start);
    CHECK(forecast.is_short(start));
    CHECK_FALSE(forecast.available_at(10, start));
}

// Guards against callers that are all told the same time and return at once.
TEST_CASE("refused callers are told times as far apart as the rate",
          "[unit_forecast]")
{
    unit_forecast forecast;
    forecast.on_units(1000, start);
    forecast.on_short(start + 100ms, start);
    CHECK(forecast.reserve_return(100, start) == start + 200ms);
    CHECK(forecast.reserve_return(100, start) == start + 300ms);
    for (int refused = 0; refused < 100; ++refused)
        forecast.reserve_return(1000, start);
    CHECK(forecast.reserve_return(100, start) ==
          start + duration(unit_forecast::max_retry_delay));
}
