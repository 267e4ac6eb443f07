// Short trials with fixed seeds.
#include "trial_fleet.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// A fraction of what the engines can do.
trial_plan calm_plan()
{
    trial_plan plan;
    plan.name = "calm";
    plan.domains = 2;
    plan.vms = 4;
    plan.owners = 4;
    plan.workers = 8;
    plan.adapters = 200;
    plan.length = 6s;
    request_kind kind;
    kind.name = "short";
    kind.a_second = 60;
    kind.objective = 600ms;
    kind.deadline = 5s;
    kind.own_prompt = {500, 0.9, 2600};
    kind.answer = {60, 1.0, 240};
    plan.kinds.push_back(kind);
    return plan;
}

std::uint64_t answered(kind_result const& kind)
{
    return kind.in_time + kind.late + kind.rejected + kind.lost;
}

} // namespace

TEST_CASE("a trial plays the same again", "[trial_fleet]")
{
    trial_plan const plan = calm_plan();
    trial_result const once = play_trial(plan, 3);
    CHECK(play_trial(plan, 3) == once);
    CHECK_FALSE(play_trial(plan, 4) == once);
}

// Every request has an end, whatever becomes of it.
TEST_CASE("every request of a trial is counted once", "[trial_fleet]")
{
    trial_plan plan = calm_plan();
    plan.kinds.at(0).a_second = 150;
    plan.disturbances = {{disturbance_kind::crash, 2s, 1s, "", 1, 0.5},
                         {disturbance_kind::burst, 3s, 1s, "short", 3, 0}};
    kind_result const kind = play_trial(plan, 1).kinds.at(0);
    CHECK(kind.asked > 1000);
    CHECK(answered(kind) == kind.asked);
}

// The engines have room for several times as much: a request is late only
// behind the fetch of its adapter, which takes less than half of the objective.
TEST_CASE("a calm load is served in time", "[trial_fleet]")
{
    kind_result const kind = play_trial(calm_plan(), 1).kinds.at(0);
    CHECK(kind.asked > 250);
    CHECK(kind.rejected == 0);
    CHECK(kind.lost == 0);
    CHECK(double(kind.in_time) > 0.98 * double(kind.asked));
}

// Half of the engines are gone for a second. What they ran is lost, what comes
// after goes to the others.
TEST_CASE("what comes after a crash is served", "[trial_fleet]")
{
    trial_plan plan = calm_plan();
    plan.disturbances = {{disturbance_kind::crash, 3s, 1s, "", 1, 0.5}};
    trial_result const result = play_trial(plan, 1);
    kind_result const& kind = result.kinds.at(0);
    // Half of those that run at a time (60 a second for half a second each),
    // and those that try an engine before its loss is noticed.
    CHECK(kind.lost + kind.rejected < 30);
    CHECK(double(kind.in_time) > 0.9 * double(kind.asked));
}
