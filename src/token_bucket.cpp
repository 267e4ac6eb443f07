#include "token_bucket.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Longer waits count as never.
constexpr double max_wait_seconds = 1e6;

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void token_bucket::set_rate(double per_second, double capacity, time_point now)
{
    level(now);
    per_second_ = per_second;
    capacity_ = capacity;
    level_ = std::min(level_, capacity_);
}

double token_bucket::level(time_point now)
{
    if (now > updated_at_)
    {
        level_ = std::min(capacity_,
                          level_ + per_second_ * seconds_of(now - updated_at_));
        updated_at_ = now;
    }
    return level_;
}

double token_bucket::required_level(double units) const
{
    return std::min(units, capacity_);
}

bool token_bucket::try_take(double units, time_point now)
{
    return reserve(units, duration(0), now).has_value();
}

std::optional<duration> token_bucket::reserve(double units, duration max_wait,
                                              time_point now)
{
    duration const wait = time_until_available(units, now);
    if (wait > max_wait)
        return std::nullopt;
    level_ -= units;
    return wait;
}

void token_bucket::refund(double units, time_point now)
{
    level_ = std::min(capacity_, level(now) + units);
}

duration token_bucket::time_until_available(double units, time_point now)
{
    double const lacking = required_level(units) - level(now);
    if (lacking <= 0 && per_second_ > 0)
        return duration(0);
    if (per_second_ <= 0 || lacking / per_second_ > max_wait_seconds)
        return duration::max();
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(lacking / per_second_));
}

} // namespace mulberry
