/// Limits the retries that this VM adds to the requests of its callers.
#ifndef MULBERRY_RETRY_BUDGET_HPP
#define MULBERRY_RETRY_BUDGET_HPP

#include "time_point.hpp"

#include <cstdint>
#include <random>

namespace mulberry
{

/// Each first try earns a fraction of a retry, so retries stay a bounded share
/// of the load however many requests fail. Without a budget every fault would
/// cause as many extra requests as the deadlines of the callers allow, and an
/// overload would amplify itself.
///
/// Thread safety: none.
class retry_budget
{
public:
    /// `retries_per_try`: fraction of a retry earned by one first try.
    /// `max_saved`: maximum number of retries saved up, also the initial
    /// number.
    retry_budget(double retries_per_try, double max_saved, std::uint64_t seed);

    void count_first_try();
    /// Consumes one retry and returns true; returns false if less than one is
    /// available.
    bool try_take();
    /// Returns a delay with full jitter: uniformly random in [0, base *
    /// 2^(retry - 1)], at most `cap`. `retry` counts from 1.
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
