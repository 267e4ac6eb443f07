/// Forecasts when a queued request begins, from the rate at which requests
/// began.
#ifndef MULBERRY_START_FORECAST_HPP
#define MULBERRY_START_FORECAST_HPP

#include "time_point.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace mulberry
{

/// Load it answers: more requests at many VMs than the workers can run. The
/// slots of all workers tell a VM nothing of its part of them; the rate at
/// which its own requests began in the last second does, whatever limits it:
/// batches, fetches of adapters or other VMs. Thread safety: none. No I/O, no
/// clock.
class start_forecast
{
public:
    /// A request began at a worker. Precondition: times do not go back.
    void on_start(time_point now);
    /// A request arrived while no other waited: starts before followed the rate
    /// of arrivals, not what limits them.
    void on_idle(time_point now) { idle_until_ = now; }
    /// The time in which `ahead` more requests begin; nullopt while too few
    /// have begun lately to tell, or if requests did not wait throughout the
    /// last second.
    std::optional<duration> wait(std::size_t ahead, time_point now) const;

private:
    std::deque<time_point> starts_;
    time_point idle_until_ = time_point::min();
};

} // namespace mulberry

#endif
