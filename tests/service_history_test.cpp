// Generated schedules checked by the history checker: callers retry a few keys
// through three VMs, also concurrently, while the table loses answers or
// applies writes late, the service does not respond, and VMs are paused or
// killed.
#include "service_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace mulberry;
using namespace mulberry::test;

namespace rc
{

/// Generates values over the whole range at every size, so that faults do not
/// appear only in long lists.
template <class Number>
Gen<Number> uniform_range(Number min, Number end)
{
    return gen::resize(kNominalSize, gen::inRange<Number>(min, end));
}

template <>
struct Arbitrary<simulation_step>
{
    static Gen<simulation_step> arbitrary()
    {
        using enum simulation_step::step_kind;
        auto const kind = gen::weightedElement<simulation_step::step_kind>(
            {{10, submit},
             {2, submit_repeatable},
             {1, withdraw},
             {1, pause},
             {2, pause_before_call},
             {1, kill},
             {1, kill_before_call},
             {1, outage}});
        return gen::build<simulation_step>(
            gen::set(&simulation_step::kind, kind),
            gen::set(&simulation_step::at_ms, uniform_range(0, 4000)),
            gen::set(&simulation_step::vm,
                     uniform_range<std::size_t>(0, vm_count)),
            gen::set(&simulation_step::key, uniform_range(0, 3)),
            gen::set(&simulation_step::body,
                     gen::weightedElement<int>({{9, 0}, {1, 1}})),
            gen::set(&simulation_step::duration_ms, uniform_range(1, 4000)));
    }
};

template <>
struct Arbitrary<schedule>
{
    static Gen<schedule> arbitrary()
    {
        using enum table_fault;
        auto const table = gen::weightedElement<table_fault>({{4, none},
                                                              {1, slow},
                                                              {2, answer_lost},
                                                              {1, lost},
                                                              {2, applied_late},
                                                              {1, refused},
                                                              {1, unreported}});
        auto const call = gen::map(uniform_range(0, 10), [](int value)
                                   { return static_cast<call_fault>(value); });
        return gen::build<schedule>(
            gen::set(&schedule::steps,
                     gen::resize(
                         24, gen::arbitrary<std::vector<simulation_step>>())),
            gen::set(&schedule::table,
                     gen::resize(
                         40, gen::container<std::vector<table_fault>>(table))),
            gen::set(&schedule::calls,
                     gen::resize(
                         16, gen::container<std::vector<call_fault>>(call))));
    }
};

} // namespace rc

namespace
{

constexpr int max_schedules = 1000;

std::vector<std::string> violations_under(schedule const& what,
                                          safeguards const& checks,
                                          broken_platform broken = {})
{
    service_simulation simulation(checks, broken);
    return violations(simulation.run(what));
}

/// Returns whether a violation that starts with `wanted` is found.
bool finds(std::string const& wanted, safeguards const& checks,
           broken_platform broken = {})
{
    auto const generator = rc::gen::arbitrary<schedule>();
    rc::Random random(1);
    for (int count = 0; count < max_schedules; ++count)
    {
        schedule const what = generator(random.split(), 100).value();
        for (std::string const& found : violations_under(what, checks, broken))
            if (found.starts_with(wanted))
                return true;
    }
    return false;
}

struct calls_without_claim : safeguards
{
    bool may_call_once(claim_state) const override { return true; }
};

struct calls_when_claim_is_unknown : safeguards
{
    bool may_call_once(claim_state claim) const override
    {
        return claim != claim_state::held;
    }
};

struct calls_when_held : safeguards
{
    bool may_call_once(claim_state claim) const override
    {
        return claim != claim_state::unknown;
    }
};

struct treats_failures_as_not_run : safeguards
{
    bool certainly_not_run(failure_stage) const override { return true; }
};

} // namespace

TEST_CASE("service calls keep their guarantees under generated schedules")
{
    safeguards const checks;
    CHECK(rc::check("no violation",
                    [&](schedule const& what)
                    {
                        auto const found = violations_under(what, checks);
                        if (!found.empty())
                            RC_FAIL(found.front());
                    }));
}

TEST_CASE("the checker finds calls that run twice without the claim check")
{
    CHECK(finds("ran twice", calls_without_claim()));
    CHECK(finds("ran twice", calls_when_held()));
    CHECK(finds("ran twice", calls_when_claim_is_unknown()));
}

TEST_CASE("the checker finds a lost connection treated as not run")
{
    treats_failures_as_not_run const checks;
    CHECK(finds("ran twice", checks));
    CHECK(finds("reported not run", checks));
    CHECK(finds("recorded not run", checks));
}

TEST_CASE("the checker finds a table that ignores conditions")
{
    safeguards const checks;
    broken_platform broken;
    broken.ignores_conditions = true;
    CHECK(finds("ran twice", checks, broken));
    CHECK(finds("claim left open", checks, broken));
}

TEST_CASE("the checker finds a key used for two bodies")
{
    safeguards const checks;
    broken_platform broken;
    broken.equal_fingerprints = true;
    CHECK(finds("answer to another body", checks, broken));
}

TEST_CASE("the checker finds altered, swapped and dropped answers")
{
    safeguards const checks;
    broken_platform altered;
    altered.alters_answers = true;
    CHECK(finds("answer of no run", checks, altered));
    broken_platform swapped;
    swapped.swaps_answers = true;
    CHECK(finds("another request's answer", checks, swapped));
    broken_platform dropped;
    dropped.drops_answers = true;
    CHECK(finds("not answered", checks, dropped));
}
