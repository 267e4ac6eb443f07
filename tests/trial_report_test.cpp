#include "trial_report.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mulberry;

namespace
{

trial_result result_of(std::uint64_t seed, double worth)
{
    trial_result result;
    result.seed = seed;
    result.worth = worth;
    result.fetches = 7;
    result.kinds.push_back({"k", 10, 8, 1, 1, 0, 5.5, 6.5, 7.5});
    return result;
}

} // namespace

TEST_CASE("a result is read back as written", "[trial_report]")
{
    trial_result const result = result_of(3, 0.75);
    CHECK(parse_json_line(to_json_line(result)) == result);
    for (char const* text : {"", "[]", "{\"seed\": \"x\"}", "{\"kinds\": [1]}"})
        CHECK_FALSE(parse_json_line(text));
}

TEST_CASE("differences are taken seed by seed", "[trial_report]")
{
    std::vector<trial_result> const before{result_of(1, 0.2), result_of(2, 0.6),
                                           result_of(9, 0.9)};
    std::vector<trial_result> const after{result_of(2, 0.7), result_of(1, 0.3)};
    auto const differences = compare(before, after);
    auto const worth =
        std::find_if(differences.begin(), differences.end(),
                     [](difference const& each) { return each.of == "worth"; });
    REQUIRE(worth != differences.end());
    CHECK(worth->before == Approx(0.4));
    CHECK(worth->mean == Approx(0.1));
    CHECK(worth->half_width == Approx(0.0).margin(1e-9));
    CHECK(compare(before, {result_of(9, 0.9)}).empty());
}
