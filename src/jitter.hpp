/// Deterministic jitter for the intervals of polls and retries.
#ifndef MULBERRY_JITTER_HPP
#define MULBERRY_JITTER_HPP

#include "time_point.hpp"

#include <cstdint>

namespace mulberry
{

/// Pseudo-random generator (splitmix64); the same seed gives the same sequence.
/// Thread safety: none.
class jitter
{
public:
    explicit jitter(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next()
    {
        std::uint64_t mixed = state_ += 0x9e3779b97f4a7c15;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
        return mixed ^ (mixed >> 31);
    }

    /// A duration between half of `max` and `max`.
    duration equal_jitter(duration max)
    {
        auto const half = static_cast<std::uint64_t>(max.count() / 2);
        auto const extra = half == 0 ? 0 : next() % half;
        return max - duration(static_cast<duration::rep>(extra));
    }

private:
    std::uint64_t state_;
};

} // namespace mulberry

#endif
