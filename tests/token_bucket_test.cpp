#include "token_bucket.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{10s};

token_bucket bucket(double per_second, double capacity)
{
    token_bucket made;
    made.set_rate(per_second, capacity, start);
    return made;
}

} // namespace

TEST_CASE("a bucket fills at its rate up to its capacity", "[token_bucket]")
{
    token_bucket filled = bucket(100, 50);
    CHECK_FALSE(filled.try_take(1, start));
    CHECK(filled.level(start + 200ms) == Approx(20));
    CHECK(filled.level(start + 10s) == Approx(50));
    CHECK(filled.try_take(50, start + 10s));
    CHECK_FALSE(filled.try_take(1, start + 10s));
}

// Guards against a request larger than the burst being refused forever.
TEST_CASE("a full bucket gives more than its capacity and goes into debt",
          "[token_bucket]")
{
    token_bucket filled = bucket(100, 50);
    CHECK_FALSE(filled.try_take(150, start + 400ms));
    CHECK(filled.try_take(150, start + 500ms));
    CHECK(filled.time_until_available(10, start + 500ms) == 1100ms);
    CHECK_FALSE(filled.try_take(10, start + 1500ms));
    CHECK(filled.try_take(10, start + 1600ms));
}

TEST_CASE("a new rate and capacity apply from the time of the change",
          "[token_bucket]")
{
    token_bucket filled = bucket(100, 100);
    filled.set_rate(10, 100, start + 500ms);
    CHECK(filled.level(start + 500ms) == Approx(50));
    CHECK(filled.level(start + 1500ms) == Approx(60));
    filled.set_rate(10, 20, start + 1500ms);
    CHECK(filled.level(start + 1500ms) == Approx(20));
    filled.set_rate(0, 20, start + 1500ms);
    CHECK_FALSE(filled.try_take(1, start + 2s));
    CHECK(filled.time_until_available(1, start + 2s) == duration::max());
}
