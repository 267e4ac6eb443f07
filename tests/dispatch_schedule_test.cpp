#include "dispatch_schedule.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace mulberry;
using namespace mulberry_test;

namespace
{

/// Schedules that a double is tried on before it counts as not found out.
constexpr std::uint64_t most_tries = 2000;

/// The first schedule at which leaving out a check is named as that violation.
std::uint64_t found_out_after(schedule_options options, violation_kind kind)
{
    for (std::uint64_t seed = 1; seed <= most_tries; ++seed)
    {
        options.seed = seed;
        if (contains(run_schedule(options).violations, kind))
            return seed;
    }
    return 0;
}

std::uint64_t found_out_after(safeguards const& double_of, violation_kind kind)
{
    schedule_options options;
    options.checks = &double_of;
    return found_out_after(options, kind);
}

} // namespace

// Callers see one whole answer of their own adapter or one true error. Requests
// of six adapters meet two slots while events come late, twice, crossed or
// never, the engine restarts and loads fail, orders stay unanswered, and the
// owner pauses, is replaced and wakes; each schedule draws these from its seed.
TEST_CASE("everything holds under schedules of faults", "[dispatch][schedule]")
{
    dispatch_counts sum;
    std::size_t schedules = 0;
    std::size_t takeovers = 0;
    CHECK(rc::check("no schedule has a violation",
                    [&]
                    {
                        schedule_options options;
                        options.seed = *rc::gen::resize(
                            rc::kNominalSize,
                            rc::gen::arbitrary<std::uint64_t>());
                        options.faults = *rc::gen::oneOf(
                            rc::gen::just<std::uint32_t>(all_faults),
                            rc::gen::inRange<std::uint32_t>(0, all_faults + 1));
                        schedule_result const result = run_schedule(options);
                        ++schedules;
                        takeovers += result.takeovers;
                        sum.finished += result.counts.finished;
                        sum.failed += result.counts.failed;
                        sum.evictions += result.counts.evictions;
                        sum.resumes += result.counts.resumes;
                        RC_LOG() << to_string(result.violations);
                        RC_ASSERT(result.violations.empty());
                    }));
    WARN(schedules << " schedules: " << sum.finished << " whole answers, "
                   << sum.failed << " errors, " << sum.evictions
                   << " evictions, " << sum.resumes << " resumes, " << takeovers
                   << " changes of owner");
    CHECK(sum.finished > sum.failed);
    CHECK(sum.evictions > schedules);
    CHECK(sum.resumes > schedules);
    CHECK(takeovers > 100);
}

// Without faults there is nothing to excuse an answer that breaks off.
TEST_CASE("without faults no answer breaks off", "[dispatch][schedule]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        schedule_options options;
        options.seed = seed;
        options.faults = 0;
        schedule_result const result = run_schedule(options);
        INFO(seed << "\n" << to_string(result.violations));
        CHECK(result.violations.empty());
        CHECK(result.counts.resumes == 0);
    }
}

// Each double leaves out one check; the same schedules must name what follows.
TEST_CASE("evicting an adapter in use is named", "[dispatch][double]")
{
    struct : safeguards
    {
        bool may_evict(eviction_facts const& facts) const override
        {
            return !facts.pinned_by_previous_owner;
        }
    } in_use;
    CHECK(found_out_after(in_use, violation_kind::evicted_in_flight) > 0);
}

TEST_CASE("evicting what an earlier owner may use is named",
          "[dispatch][double]")
{
    struct : safeguards
    {
        bool may_evict(eviction_facts const& facts) const override
        {
            return facts.sent == 0 && facts.waiting == 0;
        }
    } suspected;
    CHECK(found_out_after(suspected, violation_kind::evicted_in_flight) > 0);
}

TEST_CASE("routing to a name with an open intent is named",
          "[dispatch][double]")
{
    schedule_options options;
    options.hand_over_intents = false;
    CHECK(found_out_after(options, violation_kind::evicted_in_flight) > 0);
}

TEST_CASE("taking any answer for one's own is named", "[dispatch][double]")
{
    struct : safeguards
    {
        bool answers_request(engine_name const&, engine_name const&,
                             request_id const&,
                             request_id const&) const override
        {
            return true;
        }
    } any_answer;
    CHECK(found_out_after(any_answer, violation_kind::foreign_answer) > 0);
    CHECK(found_out_after(any_answer, violation_kind::wrong_adapter) > 0);
}

TEST_CASE("passing events on out of place is named", "[dispatch][double]")
{
    struct : safeguards
    {
        bool is_next_event(std::uint64_t, std::uint64_t) const override
        {
            return true;
        }
    } any_place;
    CHECK(found_out_after(any_place, violation_kind::answer_not_whole) > 0);
}

TEST_CASE("telling a cut as an end is named", "[dispatch][double]")
{
    struct : safeguards
    {
        bool is_complete_answer(bool) const override { return true; }
    } any_end;
    CHECK(found_out_after(any_end, violation_kind::answer_not_whole) > 0);
}

TEST_CASE("saying not run without being certain is named", "[dispatch][double]")
{
    struct : safeguards
    {
        bool certainly_not_run(failure_stage) const override { return true; }
    } any_stage;
    CHECK(found_out_after(any_stage, violation_kind::untrue_ran) > 0);
}

TEST_CASE("taking work after giving the worker up is named",
          "[dispatch][double]")
{
    struct : safeguards
    {
        bool takes_new_work(admission_facts const&) const override
        {
            return true;
        }
    } always;
    CHECK(found_out_after(always, violation_kind::work_while_leaving) > 0);
}
