#include "weight_load_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mulberry
{
namespace
{

/// Window in which loads of weights are counted.
constexpr std::chrono::seconds window{5};

} // namespace

void weight_load_limiter::update_sharing_vms(time_point now)
{
    if (now >= fewer_at_)
    {
        sharing_vms_ = fewer_vms_;
        fewer_at_ = never;
    }
    if (known_vms_ >= sharing_vms_)
    {
        sharing_vms_ = known_vms_;
        fewer_at_ = never;
        return;
    }
    if (fewer_at_ == never)
    {
        fewer_at_ = now + window;
        fewer_vms_ = known_vms_;
    }
    fewer_vms_ = std::max(fewer_vms_, known_vms_);
}

time_point weight_load_limiter::next_start(double loads_per_second,
                                           time_point now)
{
    update_sharing_vms(now);
    while (!loads_.empty() && loads_.front() + window <= now)
        loads_.pop_front();
    double const share = loads_per_second *
                         std::chrono::duration<double>(window).count() /
                         double(sharing_vms_);
    time_point next = std::max<time_point>(now, started_at_ + window);
    auto const allowed =
        static_cast<std::size_t>(std::max(1.0, std::floor(share)));
    if (loads_.size() >= allowed)
        next = std::max<time_point>(next,
                                    loads_[loads_.size() - allowed] + window);
    return next;
}

} // namespace mulberry
