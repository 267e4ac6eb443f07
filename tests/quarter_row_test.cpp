// Checks that rows and keys of a quarter survive a round trip and that
// malformed ones are rejected.
#include "calendar_quarter.hpp"
#include "quarter_row.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

quarter_counts any_counts()
{
    auto const number = rc::gen::inRange<std::uint64_t>(0, 1ULL << 50U);
    quarter_counts counts{
        *number, *number, {}, duration(*number), duration(*number)};
    for (auto const bound :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 600000)))
        counts.bounds[std::chrono::milliseconds(bound)] = {*number, *number};
    return counts;
}

} // namespace

TEST_CASE("an encoded quarter row decodes to the same row", "[quarter]")
{
    CHECK(rc::check(
        []
        {
            quarter_row row;
            row.write_number = *rc::gen::arbitrary<std::uint64_t>();
            for (auto const& name : *rc::gen::arbitrary<std::vector<int>>())
                row.totals[application_id("app \"" + std::to_string(name))] =
                    any_counts();
            RC_ASSERT(decode_quarter_row(encode(row)) == row);
        }));
}

TEST_CASE("malformed quarter rows and keys are rejected", "[quarter]")
{
    char const* const bad_bounds = R"({"write":1,"applications":{"a":{
        "requests":1,"stalled":0,"busy_us":0,"open_us":0,
        "bounds":{"x":{}}}}})";
    for (char const* const text :
         {"", "[]", "{}", R"({"write":1})", R"({"write":-1,"applications":{}})",
          R"({"write":1,"applications":{"a":{"requests":1}}})", bad_bounds})
        CHECK_FALSE(decode_quarter_row(text));
    for (char const* const text :
         {"", "quarter/", "quarter/2026-Q4", "quarter/2026-Q4/vm-1",
          "quarter/2026-Q4/vm-1/x", "quarter//vm-1/3", "vm/vm-1"})
        CHECK_FALSE(parse_quarter_key(text));
}

TEST_CASE("quarter keys with slashes or a VM named sum parse and print back",
          "[quarter]")
{
    for (char const* const text :
         {"quarter/2026-Q4/sum", "quarter/2026-Q4/sum/3",
          "quarter/2026-Q4/a/b/12"})
    {
        auto const key = parse_quarter_key(text);
        REQUIRE(key);
        CHECK(key->str() == text);
    }
    CHECK(parse_quarter_key("quarter/2026-Q4/sum")->is_sum());
    CHECK_FALSE(parse_quarter_key("quarter/2026-Q4/sum/3")->is_sum());
}

TEST_CASE("quarters begin and end at calendar month boundaries in UTC",
          "[quarter]")
{
    using namespace std::chrono;
    sys_days const new_year = 2027y / January / 1;
    CHECK(quarter_of(new_year - 1s) == calendar_quarter{"2026-Q4", new_year});
    CHECK(quarter_of(new_year) ==
          calendar_quarter{"2027-Q1", sys_days(2027y / April / 1)});
    CHECK(quarter_of(sys_days(2028y / June / 30)).name == "2028-Q2");
}
