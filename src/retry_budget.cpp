#include "retry_budget.hpp"

#include <algorithm>

namespace mulberry
{

retry_budget::retry_budget(double share, double most, std::uint64_t seed)
    : share_(share), most_(most), left_(most), random_(seed)
{
}

void retry_budget::count_first_try()
{
    left_ = std::min(most_, left_ + share_);
}

bool retry_budget::try_take()
{
    if (left_ < 1)
        return false;
    left_ -= 1;
    return true;
}

duration retry_budget::backoff(int retry, duration base, duration cap)
{
    duration longest = std::min(base, cap);
    // Doubling stops at the cap, so that no count of retries overflows.
    for (int doubled = 1; doubled < retry && longest < cap; ++doubled)
        longest = longest > cap / 2 ? cap : longest * 2;
    std::uniform_int_distribution<duration::rep> spans(0, longest.count());
    return duration(spans(random_));
}

} // namespace mulberry
