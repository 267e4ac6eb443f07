#include "error_kind.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace mulberry;

TEST_CASE("every error kind has its own row, in the enumeration's order",
          "[error_kind]")
{
    std::set<std::string_view> names;
    std::size_t index = 0;
    for (error_answer const& row : error_table())
    {
        CHECK(static_cast<std::size_t>(row.kind) == index++);
        CHECK(names.insert(row.name).second);
        CHECK(row.http_status >= 400);
        CHECK(error_kind_named(row.name) == row.kind);
    }
    CHECK(index == static_cast<std::size_t>(error_kind::internal) + 1);
}

TEST_CASE(
    "kinds with an unknown outcome do not report that the request did not run",
    "[error_kind]")
{
    CHECK(answer_of(error_kind::deadline_passed).usual_ran == ran::unknown);
    CHECK(answer_of(error_kind::answer_cut).usual_ran == ran::unknown);
    CHECK(answer_of(error_kind::outcome_unknown).usual_ran == ran::unknown);
    CHECK_FALSE(error_kind_named("no such kind"));
}
