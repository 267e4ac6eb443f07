#include "write_pacer.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr double least_per_second = 1;
constexpr double most_per_second = 40;

} // namespace

bool write_pacer::try_take(time_point now)
{
    if (now < next_)
        return false;
    next_ = now + gap();
    return true;
}

duration write_pacer::gap() const
{
    std::chrono::duration<double> const seconds(1 / per_second_);
    return std::chrono::duration_cast<duration>(seconds);
}

void write_pacer::succeeded()
{
    per_second_ = std::min(most_per_second, per_second_ + 1);
}

void write_pacer::failed()
{
    per_second_ = std::max(least_per_second, per_second_ / 2);
}

} // namespace mulberry
