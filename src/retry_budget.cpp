#include "retry_budget.hpp"

#include <algorithm>

namespace mulberry
{

retry_budget::retry_budget(double retries_per_try, double max_saved,
                           std::uint64_t seed)
    : retries_per_try_(retries_per_try), max_saved_(max_saved),
      available_(max_saved), random_(seed)
{
}

void retry_budget::count_first_try()
{
    available_ = std::min(max_saved_, available_ + retries_per_try_);
}

bool retry_budget::try_take()
{
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

duration retry_budget::backoff(int retry, duration base, duration cap)
{
    duration max_delay = std::min(base, cap);
    // Doubling stops at the cap so that a large `retry` does not overflow.
    for (int doubled = 1; doubled < retry && max_delay < cap; ++doubled)
        max_delay = max_delay > cap / 2 ? cap : max_delay * 2;
    std::uniform_int_distribution<duration::rep> delays(0, max_delay.count());
    return duration(delays(random_));
}

} // namespace mulberry
