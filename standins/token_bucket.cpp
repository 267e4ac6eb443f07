#include "token_bucket.hpp"

#include <algorithm>

namespace mulberry::standins
{

token_bucket::token_bucket(double per_second, double burst)
    : per_second_(per_second), burst_(burst), left_(burst)
{
}

bool token_bucket::take(steady_time now, double amount)
{
    std::chrono::duration<double> const passed = now - filled_at_;
    left_ = std::min(burst_, left_ + passed.count() * per_second_);
    filled_at_ = now;
    if (left_ < std::min(amount, 1.0))
        return false;
    left_ -= amount;
    return true;
}

} // namespace mulberry::standins
