#include "trial_plan.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

std::string const small = R"({ // commented
    "name": "small", "vms": 3, "workers": 4, "adapters": 20,
    "kinds": [{"name": "k", "a_second": 5, "objective_ms": 300,
               "deadline_ms": 2000, "own_prompt": {"mean": 100},
               "answer": {"mean": 10}}],
    "disturbances": [{"kind": "crash", "at_ms": 500, "share": 0.5}])";

std::size_t faults_of(std::string const& text)
{
    auto const parsed = parse_trial_plan(text, "file");
    auto const* faults = std::get_if<std::vector<text_fault>>(&parsed);
    return faults == nullptr ? 0 : faults->size();
}

} // namespace

TEST_CASE("a plan is read with its defaults", "[trial_plan]")
{
    auto const parsed = parse_trial_plan(small + "}", "file");
    REQUIRE(std::holds_alternative<trial_plan>(parsed));
    auto const& plan = std::get<trial_plan>(parsed);
    CHECK(plan.owners == 3);
    CHECK(plan.kinds.at(0).objective == 300ms);
    CHECK(plan.kinds.at(0).late_worth == 0.3);
    CHECK(plan.disturbances.at(0).kind == disturbance_kind::crash);
    CHECK(plan.engine == engine_settings());
}

TEST_CASE("every fault of a plan is told", "[trial_plan]")
{
    CHECK(faults_of("{") > 0);
    CHECK(faults_of("{}") == 5);
    CHECK(faults_of(small + R"(, "colour": 1})") == 1);
    CHECK(faults_of(small + R"(, "owners": 9})") == 1);
    CHECK(faults_of(small + R"(, "engine": {"batch": 0, "step": 1}})") == 2);
}
