/// Who asks what and when in a trial, from a seed.
#ifndef MULBERRY_TRIAL_LOAD_HPP
#define MULBERRY_TRIAL_LOAD_HPP

#include "trial_plan.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace mulberry
{

/// A caller's request as it is made. Value.
struct trial_request
{
    time_point arrives_at{};
    /// Index of its kind.
    std::size_t kind = 0;
    std::string adapter;
    shared_prefix prefix;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 1;
    friend bool operator==(trial_request const&,
                           trial_request const&) = default;
};

/// Draws requests from a seed: arrivals without memory, lengths log-normal,
/// adapters by Zipf's law, whose order is drawn anew where popularity shifts.
/// Thread safety: none.
class trial_load
{
public:
    trial_load(trial_plan const& plan, std::uint64_t seed);

    /// All requests of the trial, in the order of their arrival.
    std::vector<trial_request> draw();

private:
    double rate(request_kind const& kind, duration at) const;
    trial_request make(std::size_t kind, duration at);
    std::uint32_t tokens(token_count const& of);
    std::string adapter(duration at);

    trial_plan const& plan_;
    std::mt19937_64 random_;
    /// Of the adapters by rank, rising to 1.
    std::vector<double> shares_;
    std::uint64_t shuffle_ = 0;
};

} // namespace mulberry

#endif
