/// Write tokens and jitter from one seeded random generator.
#ifndef MULBERRY_OWNERSHIP_RANDOM_HPP
#define MULBERRY_OWNERSHIP_RANDOM_HPP

#include "time_point.hpp"

#include <cstdint>
#include <random>
#include <string>

namespace mulberry
{

/// Precondition: prefix and seed together differ between processes, since
/// tokens are derived from them. Thread safety: none.
class ownership_random
{
public:
    ownership_random(std::string prefix, std::uint64_t seed)
        : prefix_(std::move(prefix)), generator_(seed)
    {
    }

    /// A token that identifies one write.
    std::string next_token()
    {
        std::uint64_t const number = generator_();
        return prefix_ + "-" + std::to_string(number);
    }

    /// A random duration between 0.5 and 1.5 times `middle`.
    duration jittered(duration middle)
    {
        auto const range =
            static_cast<std::uint64_t>(middle.count()) + std::uint64_t{1};
        auto const part = static_cast<duration::rep>(generator_() % range);
        return middle / 2 + duration(part);
    }

private:
    std::string prefix_;
    std::mt19937_64 generator_;
};

} // namespace mulberry

#endif
