#include "adapter_demand.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr double slow_decay_seconds = 400;
constexpr double fast_decay_seconds = 20;
/// Decayed count from which the fast rate may replace the slow one; a lower
/// count is noise.
constexpr double min_fast_arrivals = 3;
/// A rate is reduced once the time since the last arrival exceeds this many
/// expected arrivals: at that rate, so long a gap occurs by chance only once in
/// exp(4) = 55 times.
constexpr double max_missed_arrivals = 4;

double decayed(double count, double elapsed, double decay_seconds)
{
    return count * std::exp(-elapsed / decay_seconds);
}

} // namespace

void adapter_demand::observe(adapter_ref const& adapter, time_point now)
{
    record& arrivals = records_[adapter];
    double const elapsed = seconds(now - arrivals.last_arrival).count();
    arrivals.slow_count =
        decayed(arrivals.slow_count, elapsed, slow_decay_seconds) + 1;
    arrivals.fast_count =
        decayed(arrivals.fast_count, elapsed, fast_decay_seconds) + 1;
    arrivals.last_arrival = now;
    double const since_last = seconds(now - total_.last_arrival).count();
    total_.slow_count =
        decayed(total_.slow_count, since_last, slow_decay_seconds) + 1;
    total_.last_arrival = now;
}

double adapter_demand::total_rate(time_point now) const
{
    double const elapsed = seconds(now - total_.last_arrival).count();
    return decayed(total_.slow_count, elapsed, slow_decay_seconds) /
           slow_decay_seconds;
}

double adapter_demand::rate(adapter_ref const& adapter, time_point now) const
{
    auto const at = records_.find(adapter);
    if (at == records_.end())
        return 0;
    record const& arrivals = at->second;
    double const elapsed = seconds(now - arrivals.last_arrival).count();
    double const fast_count =
        decayed(arrivals.fast_count, elapsed, fast_decay_seconds);
    double estimate =
        decayed(arrivals.slow_count, elapsed, slow_decay_seconds) /
        slow_decay_seconds;
    if (fast_count >= min_fast_arrivals)
        estimate = std::max(estimate, fast_count / fast_decay_seconds);
    if (elapsed * estimate > max_missed_arrivals)
        estimate = max_missed_arrivals / elapsed;
    return estimate;
}

void adapter_demand::keep_declared(declaration const& configuration)
{
    std::erase_if(records_, [&](auto const& entry)
                  { return configuration.find(entry.first) == nullptr; });
}

} // namespace mulberry
