#include "timeline.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("a stamp made after another was observed is greater than that stamp",
          "[timeline]")
{
    // A message arrives from a VM whose wall clock is 20 s ahead. An event that
    // follows on this VM must sort after the message in the merged timeline.
    std::uint64_t wall_ms = 1'000'000;
    causal_clock clock([&] { return wall_ms; });
    causal_stamp const before = clock.next();
    causal_stamp const received{1'020'000, 4};
    clock.observe(received);
    causal_stamp const after = clock.next();
    CHECK(before < received);
    CHECK(received < after);
    wall_ms = 1'030'000;
    CHECK(after < clock.next());
}

TEST_CASE("a stamp too far ahead of the wall clock is ignored", "[timeline]")
{
    causal_clock clock([] { return std::uint64_t{1'000'000}; });
    clock.observe(causal_stamp{9'000'000, 0});
    CHECK(clock.next().wall_ms == 1'000'000);
}

TEST_CASE("the texts of stamps sort in the same order as the stamps",
          "[timeline]")
{
    causal_stamp const low{999, 12};
    causal_stamp const high{1000, 2};
    CHECK(low.str() < high.str());
    CHECK(parse_causal_stamp(high.str()) == high);
    CHECK_FALSE(parse_causal_stamp("12"));
    CHECK_FALSE(parse_causal_stamp("a.b"));
}

TEST_CASE("the timeline keeps the newest events up to its capacity and is "
          "read from an event number",
          "[timeline]")
{
    causal_clock clock([] { return std::uint64_t{5}; });
    timeline line(clock, 3);
    for (int i = 1; i <= 5; ++i)
        line.add("core", "event", std::to_string(i));
    auto const all = line.read(0, 10);
    REQUIRE(all.size() == 3);
    CHECK(all.front().text == "3");
    auto const newer = line.read(4, 10);
    REQUIRE(newer.size() == 1);
    CHECK(newer.front().number == 5);
    CHECK(line.read(0, 1).size() == 1);
    CHECK(line.read(5, 10).empty());
}
