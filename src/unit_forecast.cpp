#include "unit_forecast.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr std::chrono::seconds rate_window{1};
/// Under a load beyond the allotment, a VM asks its pools more often than this.
constexpr milliseconds shortage_lifetime{500};

duration span_for(double units, double per_second)
{
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(units / per_second));
}

} // namespace

void unit_forecast::on_units(double units, time_point now)
{
    while (!given_.empty() && given_.front().at <= now - duration(rate_window))
        given_.pop_front();
    given_.push_back({now, units});
}

void unit_forecast::on_short(time_point retry_at, time_point now)
{
    short_until_ = now + duration(shortage_lifetime);
    pool_retry_at_ = retry_at;
}

double unit_forecast::per_second(time_point now) const
{
    double sum = 0;
    for (given_units const& each : given_)
        if (each.at > now - duration(rate_window))
            sum += each.units;
    return sum / std::chrono::duration<double>(rate_window).count();
}

std::optional<time_point> unit_forecast::available_at(double units,
                                                      time_point now) const
{
    double const rate = per_second(now);
    if (!is_short(now) || rate <= 0)
        return std::nullopt;
    return now + span_for(units, rate);
}

time_point unit_forecast::reserve_return(double units, time_point now)
{
    time_point const earliest = std::max(pool_retry_at_, now);
    double const rate = per_second(now);
    returns_end_at_ = std::max(returns_end_at_, earliest);
    if (rate > 0)
        returns_end_at_ += span_for(units, rate);
    returns_end_at_ =
        std::min<time_point>(returns_end_at_, now + duration(max_retry_delay));
    return returns_end_at_;
}

} // namespace mulberry
