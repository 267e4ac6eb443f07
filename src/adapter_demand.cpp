#include "adapter_demand.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr double slow_seconds = 400;
constexpr double fast_seconds = 20;
/// Arrivals within the fast window that make it believed over the slow one;
/// fewer are noise.
constexpr double fast_enough = 3;
/// A rate r that stayed silent for longer than this over r is no longer
/// believed: such a silence would come by chance once in exp(4) = 55 times.
constexpr double silent_arrivals = 4;

double decayed(double count, double elapsed, double scale)
{
    return count * std::exp(-elapsed / scale);
}

} // namespace

void adapter_demand::observe(adapter_ref const& adapter, time_point now)
{
    record& one = records_[adapter];
    double const elapsed = seconds(now - one.last).count();
    one.slow = decayed(one.slow, elapsed, slow_seconds) + 1;
    one.fast = decayed(one.fast, elapsed, fast_seconds) + 1;
    one.last = now;
    double const since_any = seconds(now - total_.last).count();
    total_.slow = decayed(total_.slow, since_any, slow_seconds) + 1;
    total_.last = now;
}

double adapter_demand::total(time_point now) const
{
    double const elapsed = seconds(now - total_.last).count();
    return decayed(total_.slow, elapsed, slow_seconds) / slow_seconds;
}

double adapter_demand::rate(adapter_ref const& adapter, time_point now) const
{
    auto const at = records_.find(adapter);
    if (at == records_.end())
        return 0;
    record const& one = at->second;
    double const elapsed = seconds(now - one.last).count();
    double const fast = decayed(one.fast, elapsed, fast_seconds);
    double estimate = decayed(one.slow, elapsed, slow_seconds) / slow_seconds;
    if (fast >= fast_enough)
        estimate = std::max(estimate, fast / fast_seconds);
    if (elapsed * estimate > silent_arrivals)
        estimate = silent_arrivals / elapsed;
    return estimate;
}

void adapter_demand::keep_declared(declaration const& configuration)
{
    std::erase_if(records_, [&](auto const& entry)
                  { return configuration.find(entry.first) == nullptr; });
}

} // namespace mulberry
