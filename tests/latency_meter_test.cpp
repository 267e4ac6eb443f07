#include "latency_meter.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

TEST_CASE("a meter without samples has an empty summary", "[latency_meter]")
{
    CHECK(latency_meter().summary() == latency_summary{});
}

TEST_CASE("quantiles of a known distribution are near their true values",
          "[latency_meter]")
{
    latency_meter meter;
    for (int i = 0; i < 10'000; ++i)
        meter.add(std::chrono::milliseconds(1 + (i * 7919) % 1000));
    latency_summary const shown = meter.summary();
    CHECK(shown.count == 10'000);
    CHECK(shown.sum == Approx(5005.0));
    CHECK(shown.max == Approx(1.0));
    CHECK(shown.median == Approx(0.5).margin(0.02));
    CHECK(shown.p95 == Approx(0.95).margin(0.02));
    CHECK(shown.p99 == Approx(0.99).margin(0.02));
}

TEST_CASE("no quantile exceeds the largest sample", "[latency_meter]")
{
    latency_meter meter;
    meter.add(2ms);
    meter.add(3ms);
    CHECK(meter.summary().p99 <= meter.summary().max);
    CHECK(meter.summary().max == Approx(0.003));
}
