#include "retry_allowance.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

} // namespace

// Guards against a retry storm when all requests fail: six VMs that cannot
// reach each other use up their shares and must together stay within the limit
// in any window.
TEST_CASE("the retries of all VMs stay within the limit without messages",
          "[retry_allowance]")
{
    retry_limits const limits{0.2, 52, 10s};
    std::vector<retry_allowance> vms(6, retry_allowance(limits));
    int requests = 0;
    int retries = 0;
    for (int ms = 0; ms < 10'000; ms += 10)
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
        {
            time_point const now = start + std::chrono::milliseconds(ms);
            // The first VM gets four times as many requests as each other VM.
            if (ms % (vm == 0 ? 10 : 40) != 0)
                continue;
            vms[vm].count_request(now);
            ++requests;
            retries += vms[vm].try_take(6, now);
            retries += vms[vm].try_take(6, now);
        }
    CHECK(retries <= 0.2 * requests + 52);
    CHECK(retries > 0.1 * requests);
}

TEST_CASE("requests stop counting after the window", "[retry_allowance]")
{
    retry_allowance allowance({0.5, 0, 10s});
    for (int number = 0; number < 20; ++number)
        allowance.count_request(start);
    CHECK(allowance.remaining(1, start) == Approx(8));
    CHECK(allowance.remaining(1, start + 11s) == Approx(0));
    CHECK_FALSE(allowance.try_take(1, start + 11s));
}

TEST_CASE("a VM that just started may use its share of the slack",
          "[retry_allowance]")
{
    retry_allowance allowance({0.2, 52, 10s});
    int taken = 0;
    while (allowance.try_take(6, start))
        ++taken;
    CHECK(taken == 6);
}
