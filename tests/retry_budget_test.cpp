#include "retry_budget.hpp"
#include "service_simulation.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry::test;

TEST_CASE("retries are limited to a share of first tries")
{
    retry_budget budget(0.25, 2, 1);
    CHECK(budget.try_take());
    CHECK(budget.try_take());
    CHECK_FALSE(budget.try_take());
    for (int first = 0; first < 3; ++first)
        budget.count_first_try();
    CHECK_FALSE(budget.try_take());
    budget.count_first_try();
    CHECK(budget.try_take());
    for (int first = 0; first < 100; ++first)
        budget.count_first_try();
    CHECK(budget.available() == 2);
}

TEST_CASE("backoff is random up to a limit that doubles")
{
    retry_budget budget(1, 1, 7);
    duration max_delay{};
    for (int count = 0; count < 1000; ++count)
    {
        CHECK(budget.backoff(1, 10 * ms, 1000 * ms) <= 10 * ms);
        CHECK(budget.backoff(100, 10 * ms, 1000 * ms) <= 1000 * ms);
        max_delay = std::max(max_delay, budget.backoff(3, 10 * ms, 1000 * ms));
    }
    CHECK(max_delay <= 40 * ms);
    CHECK(max_delay > 30 * ms);
    CHECK(retry_budget(1, 1, 7).backoff(2, 10 * ms, 1000 * ms) ==
          retry_budget(1, 1, 7).backoff(2, 10 * ms, 1000 * ms));
}

// Guards against retry amplification: every call fails immediately and
// permanently, and three tries for each request would turn a fault into an
// overload. Callers get an error, and the service gets little more than one
// try per request.
TEST_CASE("total failure adds no more tries than the budget allows")
{
    safeguards const checks;
    service_simulation simulation(checks);
    constexpr std::size_t requests = 2000;
    simulation.call_faults(std::vector(3 * requests, call_fault::not_sent));
    for (std::size_t count = 0; count < requests; ++count)
    {
        bool const repeatable = count % 2 == 0;
        simulation.at(
            time_point{} + static_cast<int>(count) * ms,
            [&simulation, repeatable, count]
            { simulation.submit(0, static_cast<int>(count), 0, repeatable); });
    }
    simulation.run_until(time_point{} + 10000 * ms);
    CHECK(simulation.history().final_answers.size() == requests);
    CHECK(simulation.calls_made() >= requests);
    // 0.2 retries per first try, and 20 saved up.
    CHECK(simulation.calls_made() <= requests + requests / 5 + 20);
}
