#include "write_pacer.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr double min_writes_per_second = 1;
constexpr double max_writes_per_second = 40;

} // namespace

bool write_pacer::try_take(time_point now)
{
    if (now < next_write_at_)
        return false;
    next_write_at_ = now + min_interval();
    return true;
}

duration write_pacer::min_interval() const
{
    std::chrono::duration<double> const seconds(1 / writes_per_second_);
    return std::chrono::duration_cast<duration>(seconds);
}

void write_pacer::succeeded()
{
    writes_per_second_ =
        std::min(max_writes_per_second, writes_per_second_ + 1);
}

void write_pacer::failed()
{
    writes_per_second_ =
        std::max(min_writes_per_second, writes_per_second_ / 2);
}

} // namespace mulberry
