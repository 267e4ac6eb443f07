#include "adapter_locations.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};
model_target const target{base_model_id("base"), adapter_id("a1")};

} // namespace

TEST_CASE("an adapter's location is where it was last granted",
          "[adapter_sightings]")
{
    adapter_locations locations;
    locations.record(target, worker_id("w1"), start);
    CHECK(locations.is_at(target, worker_id("w1"), start + 1s));
    CHECK_FALSE(locations.is_at(target, worker_id("w2"), start + 1s));
    locations.record(target, worker_id("w2"), start + 1s);
    CHECK_FALSE(locations.is_at(target, worker_id("w1"), start + 1s));
}

TEST_CASE("a location expires or is removed when it was wrong",
          "[adapter_sightings]")
{
    adapter_locations locations;
    locations.record(target, worker_id("w1"), start);
    CHECK_FALSE(locations.is_at(target, worker_id("w1"), start + 1min));
    locations.record(target, worker_id("w1"), start);
    locations.remove(target, worker_id("w2"));
    CHECK(locations.is_at(target, worker_id("w1"), start));
    locations.remove(target, worker_id("w1"));
    CHECK_FALSE(locations.is_at(target, worker_id("w1"), start));
}

TEST_CASE("expired locations are removed", "[adapter_sightings]")
{
    adapter_locations locations;
    for (int number = 0; number < 1000; ++number)
        locations.record(
            {base_model_id("base"), adapter_id("a" + std::to_string(number))},
            worker_id("w1"), start + number * 100ms);
    CHECK(locations.size() < 100);
}
