#include "start_forecast.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

TEST_CASE("the forecast follows the rate of the last second",
          "[start_forecast]")
{
    start_forecast forecast;
    time_point now{1h};
    CHECK_FALSE(forecast.wait(1, now));
    for (int number = 0; number < 100; ++number)
        forecast.on_start(now += 50ms);
    CHECK(forecast.wait(0, now) == duration(0));
    CHECK(forecast.wait(20, now) == duration(1s));
    for (int number = 0; number < 10; ++number)
        forecast.on_start(now += 100ms);
    CHECK(forecast.wait(20, now) == duration(2s));
}

// Guards against a forecast from starts that are long past.
TEST_CASE("without starts in the last second there is no forecast",
          "[start_forecast]")
{
    start_forecast forecast;
    time_point now{1h};
    for (int number = 0; number < 100; ++number)
        forecast.on_start(now += 10ms);
    CHECK(forecast.wait(5, now + 500ms));
    CHECK_FALSE(forecast.wait(5, now + 970ms));
}

// Guards against a rate of starts that was limited by arrivals: right after an
// idle time, it is far below what the workers can start.
TEST_CASE("there is no forecast until requests waited for a second",
          "[start_forecast]")
{
    start_forecast forecast;
    time_point now{1h};
    for (int number = 0; number < 100; ++number)
        forecast.on_start(now += 10ms);
    forecast.on_idle(now);
    CHECK_FALSE(forecast.wait(5, now + 10ms));
    for (int number = 0; number < 99; ++number)
        forecast.on_start(now += 10ms);
    CHECK_FALSE(forecast.wait(5, now));
    forecast.on_start(now += 10ms);
    CHECK(forecast.wait(5, now) == duration(50ms));
}
