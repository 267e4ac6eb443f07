/// A rate limit with a bounded burst.
#ifndef MULBERRY_TOKEN_BUCKET_HPP
#define MULBERRY_TOKEN_BUCKET_HPP

#include <chrono>

namespace mulberry::standins
{

using steady_time = std::chrono::steady_clock::time_point;

/// Not thread safe; the caller brings the time.
class token_bucket
{
public:
    /// Precondition: both are positive.
    token_bucket(double per_second, double burst);
    /// Takes that many if any is left. One large take may leave a debt, since
    /// it could never pass otherwise.
    bool take(steady_time now, double amount = 1);

private:
    double per_second_;
    double burst_;
    double left_;
    steady_time filled_at_{};
};

} // namespace mulberry::standins

#endif
