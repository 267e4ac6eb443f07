/// Bounds how many tries are added to those that callers asked for.
#ifndef MULBERRY_RETRY_BUDGET_HPP
#define MULBERRY_RETRY_BUDGET_HPP

#include "time_point.hpp"

#include <cstdint>
#include <random>

namespace mulberry
{

/// Each first try earns a fraction of a retry, so that retries stay a bounded
/// share of the load however many requests fail: without it every fault is
/// answered by as many more requests as each caller has patience for, and an
/// overload feeds itself. Thread safety: none.
class retry_budget
{
public:
    /// `share`: retries earned by one first try. `most`: the most saved up.
    retry_budget(double retries_per_try, double max_saved, std::uint64_t seed);

    void count_first_try();
    /// Takes one retry if there is one.
    bool try_take();
    /// Full jitter: a random span in [0, base * 2^(retry - 1)], at most `cap`.
    /// `retry` counts from 1.
    duration backoff(int retry, duration base, duration cap);
    double available() const { return available_; }

private:
    double retries_per_try_;
    double max_saved_;
    double available_;
    std::mt19937_64 random_;
};

} // namespace mulberry

#endif
