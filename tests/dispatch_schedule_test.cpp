#include "dispatch_schedule.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace mulberry;
using namespace mulberry_test;

namespace
{

/// The number of schedules after which a mutant counts as not detected.
constexpr std::uint64_t max_seeds = 2000;

/// The first seed whose schedule reports a violation of that kind; 0 if none
/// does.
std::uint64_t first_detecting_seed(schedule_options options,
                                   violation_kind kind)
{
    for (std::uint64_t seed = 1; seed <= max_seeds; ++seed)
    {
        options.seed = seed;
        if (contains(run_schedule(options).violations, kind))
            return seed;
    }
    return 0;
}

std::uint64_t first_detecting_seed(safeguards const& mutant,
                                   violation_kind kind)
{
    schedule_options options;
    options.checks = &mutant;
    return first_detecting_seed(options, kind);
}

} // namespace

// Each caller gets one complete answer of its own adapter or one true error.
// Requests for six adapters compete for two slots. Each schedule draws faults
// from its seed: late, repeated, crossed or lost events, engine restarts,
// failed loads, unanswered orders, and an owner that pauses, is replaced and
// wakes.
TEST_CASE("random fault schedules cause no violation", "[dispatch][schedule]")
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

// Without faults no answer may break off.
TEST_CASE("schedules without faults need no resume and cause no violation",
          "[dispatch][schedule]")
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

// Each mutant leaves out one check. The same schedules must detect the
// violation that follows from the missing check.
TEST_CASE("evicting an adapter in use is detected", "[dispatch][double]")
{
    struct : safeguards
    {
        bool may_evict(eviction_facts const& facts) const override
        {
            return !facts.pinned_by_previous_owner;
        }
    } in_use;
    CHECK(first_detecting_seed(in_use, violation_kind::evicted_in_flight) > 0);
}

TEST_CASE("evicting an adapter that an earlier owner may use is detected",
          "[dispatch][double]")
{
    struct : safeguards
    {
        bool may_evict(eviction_facts const& facts) const override
        {
            return facts.sent == 0 && facts.waiting == 0;
        }
    } suspected;
    CHECK(first_detecting_seed(suspected, violation_kind::evicted_in_flight) >
          0);
}

TEST_CASE("routing to a name with an open intent is detected",
          "[dispatch][double]")
{
    schedule_options options;
    options.hand_over_intents = false;
    CHECK(first_detecting_seed(options, violation_kind::evicted_in_flight) > 0);
}

TEST_CASE("accepting the answer of another request is detected",
          "[dispatch][double]")
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
    CHECK(first_detecting_seed(any_answer, violation_kind::foreign_answer) > 0);
    CHECK(first_detecting_seed(any_answer, violation_kind::wrong_adapter) > 0);
}

TEST_CASE("passing on events out of order is detected", "[dispatch][double]")
{
    struct : safeguards
    {
        bool is_next_event(std::uint64_t, std::uint64_t) const override
        {
            return true;
        }
    } any_place;
    CHECK(first_detecting_seed(any_place, violation_kind::answer_not_whole) >
          0);
}

TEST_CASE("reporting a broken answer as complete is detected",
          "[dispatch][double]")
{
    struct : safeguards
    {
        bool is_complete_answer(bool) const override { return true; }
    } any_end;
    CHECK(first_detecting_seed(any_end, violation_kind::answer_not_whole) > 0);
}

TEST_CASE("reporting not run without certainty is detected",
          "[dispatch][double]")
{
    struct : safeguards
    {
        bool certainly_not_run(failure_stage) const override { return true; }
    } any_stage;
    CHECK(first_detecting_seed(any_stage, violation_kind::untrue_ran) > 0);
}

TEST_CASE("admitting requests after ownership ended is detected",
          "[dispatch][double]")
{
    struct : safeguards
    {
        bool takes_new_work(admission_facts const&) const override
        {
            return true;
        }
    } always;
    CHECK(first_detecting_seed(always, violation_kind::work_while_leaving) > 0);
}
