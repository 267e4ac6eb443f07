#include "timeline.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("a stamp made after one was heard is higher than it", "[timeline]")
{
    // The other VM's wall clock is 20 s ahead. Its message is heard, then an
    // event happens here: merged, the event must come after the message.
    std::uint64_t here = 1'000'000;
    causal_clock clock([&] { return here; });
    causal_stamp const before = clock.next();
    causal_stamp const heard{1'020'000, 4};
    clock.observe(heard);
    causal_stamp const after = clock.next();
    CHECK(before < heard);
    CHECK(heard < after);
    here = 1'030'000;
    CHECK(after < clock.next());
}

TEST_CASE("a wall clock that is wildly ahead is not followed", "[timeline]")
{
    causal_clock clock([] { return std::uint64_t{1'000'000}; });
    clock.observe(causal_stamp{9'000'000, 0});
    CHECK(clock.next().wall_ms == 1'000'000);
}

TEST_CASE("stamps compare as texts as they do as values", "[timeline]")
{
    causal_stamp const low{999, 12};
    causal_stamp const high{1000, 2};
    CHECK(low.str() < high.str());
    CHECK(parse_causal_stamp(high.str()) == high);
    CHECK_FALSE(parse_causal_stamp("12"));
    CHECK_FALSE(parse_causal_stamp("a.b"));
}

TEST_CASE("the time line keeps the newest within its bound and is read on "
          "from a number",
          "[timeline]")
{
    causal_clock clock([] { return std::uint64_t{5}; });
    timeline line(clock, 3);
    for (int i = 1; i <= 5; ++i)
        line.add("core", "event", std::to_string(i));
    auto const all = line.read(0, 10);
    REQUIRE(all.size() == 3);
    CHECK(all.front().text == "3");
    auto const rest = line.read(4, 10);
    REQUIRE(rest.size() == 1);
    CHECK(rest.front().number == 5);
    CHECK(line.read(0, 1).size() == 1);
    CHECK(line.read(5, 10).empty());
}
