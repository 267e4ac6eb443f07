#include "prefill_rate.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Below this prompt length, network latency and a decoding step of the batch
/// dominate the time to the first byte.
constexpr std::uint32_t min_tokens = 512;
/// Fraction by which the estimate moves towards each observation; the first few
/// observations move it further.
constexpr double step = 0.05;
constexpr double initial_step = 0.5;

} // namespace

void prefill_rate::observe(std::uint32_t tokens, duration expected,
                           duration took)
{
    if (tokens < min_tokens)
        return;
    double const move = std::max(step, initial_step / ++observations_);
    microseconds_per_token_ *= took < expected ? 1 - move : 1 + move;
}

duration prefill_rate::prefill_time(std::uint32_t tokens) const
{
    return duration(
        static_cast<duration::rep>(microseconds_per_token_ * tokens));
}

} // namespace mulberry
