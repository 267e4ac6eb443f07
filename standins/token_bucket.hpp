/// A rate limit with a bounded burst.
#ifndef MULBERRY_TOKEN_BUCKET_HPP
#define MULBERRY_TOKEN_BUCKET_HPP

#include <chrono>

namespace mulberry::standins
{

using steady_time = std::chrono::steady_clock::time_point;

/// Not thread safe; the caller passes the time.
class token_bucket
{
public:
    /// Precondition: both are positive.
    token_bucket(double per_second, double burst);
    /// Takes `amount` tokens and returns true if at least min(amount, 1) tokens
    /// are left. The balance may become negative, since an amount larger than
    /// the burst could never be taken otherwise.
    bool take(steady_time now, double amount = 1);

private:
    double per_second_;
    double burst_;
    double left_;
    steady_time filled_at_{};
};

} // namespace mulberry::standins

#endif
