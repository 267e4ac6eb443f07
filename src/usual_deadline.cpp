#include "usual_deadline.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Samples between two updates; the first update takes place after as many.
constexpr std::size_t update_interval = 16;
/// An eighth of the calls may have longer deadlines than the usual one.
constexpr std::size_t longer_divisor = 8;

} // namespace

void usual_deadline::add(duration time_left)
{
    samples_[next_] = time_left;
    next_ = (next_ + 1) % max_samples;
    count_ = std::min(count_ + 1, max_samples);
    if (next_ % update_interval == 0)
        update();
}

void usual_deadline::update()
{
    auto sorted = samples_;
    auto const rank =
        sorted.begin() + std::ptrdiff_t(count_ - 1 - count_ / longer_divisor);
    std::nth_element(sorted.begin(), rank,
                     sorted.begin() + std::ptrdiff_t(count_));
    value_ = *rank;
}

} // namespace mulberry
