#include "token_bucket.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Longer than any allotment is asked about.
constexpr double longest_seconds = 1e6;

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void token_bucket::set_rate(double per_second, double most, time_point now)
{
    level(now);
    per_second_ = per_second;
    most_ = most;
    level_ = std::min(level_, most_);
}

double token_bucket::level(time_point now)
{
    if (now > as_of_)
    {
        level_ =
            std::min(most_, level_ + per_second_ * seconds_of(now - as_of_));
        as_of_ = now;
    }
    return level_;
}

double token_bucket::enough_for(double units) const
{
    return std::min(units, most_);
}

bool token_bucket::take(double units, time_point now)
{
    return take_ahead(units, duration(0), now).has_value();
}

std::optional<duration> token_bucket::take_ahead(double units, duration longest,
                                                 time_point now)
{
    duration const wait = until_fits(units, now);
    if (wait > longest)
        return std::nullopt;
    level_ -= units;
    return wait;
}

void token_bucket::put(double units, time_point now)
{
    level_ = std::min(most_, level(now) + units);
}

duration token_bucket::until_fits(double units, time_point now)
{
    double const lacking = enough_for(units) - level(now);
    if (lacking <= 0 && per_second_ > 0)
        return duration(0);
    if (per_second_ <= 0 || lacking / per_second_ > longest_seconds)
        return duration::max();
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(lacking / per_second_));
}

} // namespace mulberry
