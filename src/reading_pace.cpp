#include "reading_pace.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Below this prompt length, network latency and a decoding step of the batch
/// dominate the time to the first byte.
constexpr std::uint32_t least_tokens = 512;
/// Fraction by which the estimate moves towards each observation; the first few
/// observations move it further.
constexpr double step = 0.05;
constexpr double first_step = 0.5;

} // namespace

void reading_pace::observe(std::uint32_t tokens, duration expected,
                           duration took)
{
    if (tokens < least_tokens)
        return;
    double const move = std::max(step, first_step / ++observed_);
    microseconds_per_token_ *= took < expected ? 1 - move : 1 + move;
}

duration reading_pace::time_for(std::uint32_t tokens) const
{
    return duration(
        static_cast<duration::rep>(microseconds_per_token_ * tokens));
}

} // namespace mulberry
