/// Limits the loads of weights that this VM orders.
#ifndef MULBERRY_WEIGHT_LOAD_LIMITER_HPP
#define MULBERRY_WEIGHT_LOAD_LIMITER_HPP

#include "time_point.hpp"

#include <cstddef>
#include <deque>

namespace mulberry
{

/// All VMs share the rate of the weight store equally, without messages between
/// them. A process does not know what its predecessor on the same VM loaded,
/// nor whether other VMs have noticed yet that it takes a share; so it loads
/// nothing before it has run for a window. The share of a VM that is lost is
/// used by the others only when its last loads have left the window.
/// Thread safety: none. No clock; the times passed must not decrease.
class weight_load_limiter
{
public:
    /// `started_at`: when this process started.
    explicit weight_load_limiter(time_point started_at)
        : started_at_(started_at)
    {
    }

    /// Sets the number of VMs that share the rate. It takes effect at the next
    /// call that passes a time.
    void set_vms(std::size_t vms) { known_vms_ = vms; }
    /// The earliest time at which a load may start; `now` if it may already.
    time_point next_start(double loads_per_second, time_point now);
    /// A load starts now.
    void on_started(time_point now) { loads_.push_back(now); }

private:
    void update_sharing_vms(time_point now);

    time_point started_at_;
    /// Loads within the window.
    std::deque<time_point> loads_;
    std::size_t known_vms_ = 1;
    std::size_t sharing_vms_ = 1;
    /// When fewer VMs share the rate, and how many: the most that were known
    /// since sharing_vms_ were.
    time_point fewer_at_ = never;
    std::size_t fewer_vms_ = 1;
};

} // namespace mulberry

#endif
