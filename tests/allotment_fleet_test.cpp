// Allotments of many VMs under trouble, with fixed seeds.
#include "allotment_fleet.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

allotment_result play(allotment_trouble trouble, std::uint64_t seed)
{
    allotment_plan plan;
    plan.vms = 24;
    plan.callers = 60;
    plan.largest_use = 60'000;
    plan.trouble = trouble;
    plan.seed = seed;
    return allotment_fleet(plan, allotment_way::pooled).play();
}

constexpr allotment_trouble all_troubles[] = {
    allotment_trouble::none, allotment_trouble::cut,
    allotment_trouble::pool_lost, allotment_trouble::herd_killed,
    allotment_trouble::lowered};

} // namespace

// Guards against a fleet that lets a team run more than its allotment, whoever
// hears whom: the bound is the stated one, a tenth over.
TEST_CASE("no trouble lets a team have more than its allotment",
          "[allotment_fleet]")
{
    double const bound = 1 + allotment_plan().over;
    for (allotment_trouble const trouble : all_troubles)
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            CAPTURE(to_string(trouble), seed);
            CHECK(play(trouble, seed).worst_window <= bound);
        }
}

// Guards against equal parts: a team whose callers are at few VMs is refused
// most of what it may ask for.
TEST_CASE("a team whose callers are at few VMs gets its allotment",
          "[allotment_fleet]")
{
    allotment_plan plan;
    plan.vms = 24;
    plan.callers = 60;
    plan.largest_use = 60'000;
    auto const equal = allotment_fleet(plan, allotment_way::equal).play();
    auto const pooled = allotment_fleet(plan, allotment_way::pooled).play();
    CHECK(pooled.refused_below < equal.refused_below / 5);
}

// Guards against a standing queue: while a team asks for several times its
// allotment, each of its requests waits as long as any may before it is
// admitted or refused.
TEST_CASE("a team beyond its allotment waits no longer than its bound",
          "[allotment_fleet]")
{
    allotment_plan plan;
    plan.vms = 58;
    plan.hot = 5;
    plan.early_wait = std::chrono::milliseconds(75);
    // Callers come on after the bound within a turn of the event loop.
    auto const bound = *plan.early_wait + std::chrono::milliseconds(2);
    constexpr double min_use = 0.9;
    for (allotment_trouble const trouble : all_troubles)
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            plan.trouble = trouble;
            plan.seed = seed;
            CAPTURE(to_string(trouble), seed);
            auto const result =
                allotment_fleet(plan, allotment_way::pooled).play();
            CHECK(result.worst_window <= 1 + plan.over);
            CHECK(result.longest_wait <= bound);
            if (trouble == allotment_trouble::none)
                CHECK(result.hot_used >= min_use);
        }
}

// Guards against a fleet that sends a worker more than the limit that it named:
// in each window at most a tenth over rate and burst.
TEST_CASE("no trouble lets a worker get more than its limit",
          "[allotment_fleet]")
{
    for (double const per_second : {0.3, 2.8, 40.0})
        for (allotment_trouble const trouble : all_troubles)
            for (std::uint64_t seed = 1; seed <= 3; ++seed)
            {
                allotment_plan plan = plan_of_limits(12, {per_second, 4});
                plan.trouble = trouble;
                plan.seed = seed;
                CAPTURE(per_second, to_string(trouble), seed);
                auto const result =
                    allotment_fleet(plan, allotment_way::pooled).play();
                CHECK(result.worst_window <= 1 + plan.over);
            }
}

// Guards against equal parts: limits of a few requests a second are left unused
// when callers are at one VM, or ask less often than a VM's part allows.
TEST_CASE("a worker gets what its limit allows where there is demand",
          "[allotment_fleet]")
{
    constexpr double min_use = 0.9;
    for (double const per_second : {1.0, 2.8, 6.5, 40.0})
        for (bool const one_vm : {false, true})
            for (std::uint64_t seed = 1; seed <= 3; ++seed)
            {
                allotment_plan plan =
                    plan_of_limits(7, {per_second, 3, one_vm});
                plan.seed = seed;
                CAPTURE(per_second, one_vm, seed);
                auto const result =
                    allotment_fleet(plan, allotment_way::pooled).play();
                CHECK(result.least_used >= min_use);
            }
}
