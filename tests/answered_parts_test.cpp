#include "answered_parts.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

TEST_CASE("answered parts are remembered for a generation", "[answered_parts]")
{
    answered_parts parts(30s, 100);
    time_point const start{1h};
    parts.add(request_digest("a"), start);
    parts.add(request_digest("b"), start + 40s);
    CHECK(parts.answered_at(request_digest("a")) == start);
    parts.add(request_digest("a"), start + 50s);
    CHECK(parts.answered_at(request_digest("a")) == start + 50s);
    parts.add(request_digest("c"), start + 80s);
    parts.add(request_digest("c"), start + 120s);
    CHECK_FALSE(parts.answered_at(request_digest("a")));
    CHECK(parts.answered_at(request_digest("c")) == start + 120s);
}

TEST_CASE("the number of answered parts is bounded", "[answered_parts]")
{
    answered_parts parts(30s, 100);
    time_point const start{1h};
    for (int number = 0; number < 250; ++number)
        parts.add(request_digest(std::to_string(number)), start);
    CHECK_FALSE(parts.answered_at(request_digest("20")));
    CHECK(parts.answered_at(request_digest("249")));
    CHECK(parts.answered_at(request_digest("160")));
}
