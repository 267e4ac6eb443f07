#include "start_forecast.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr std::chrono::milliseconds window{1000};
/// With fewer starts the rate is known to less than a half.
constexpr std::size_t min_starts = 4;

} // namespace

void start_forecast::on_start(time_point now)
{
    starts_.push_back(now);
    while (starts_.front() + window <= now)
        starts_.pop_front();
}

std::optional<duration> start_forecast::wait(std::size_t ahead,
                                             time_point now) const
{
    if (idle_until_ > now - duration(window))
        return std::nullopt;
    auto const counted = static_cast<std::size_t>(
        std::distance(std::upper_bound(starts_.begin(), starts_.end(),
                                       now - duration(window)),
                      starts_.end()));
    if (counted < min_starts)
        return std::nullopt;
    return duration(window) * ahead / counted;
}

} // namespace mulberry
