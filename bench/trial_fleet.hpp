/// Plays a trial: several VMs with the product's own schedulers before modelled
/// engines, in virtual time.
#ifndef MULBERRY_TRIAL_FLEET_HPP
#define MULBERRY_TRIAL_FLEET_HPP

#include "trial_plan.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mulberry
{

/// What became of the requests of one kind. Value.
struct kind_result
{
    std::string name;
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t rejected = 0;
    /// Broken off, or without an answer at the deadline.
    std::uint64_t lost = 0;
    /// From arrival to the first token, of those that were served.
    double first_p50_ms = 0;
    double first_p95_ms = 0;
    double first_p99_ms = 0;
    friend bool operator==(kind_result const&, kind_result const&) = default;
};

/// Value.
struct trial_result
{
    std::uint64_t seed = 0;
    std::vector<kind_result> kinds;
    /// Of what all answers in time would have been worth.
    double worth = 0;
    /// The same of the two worst spans of two seconds.
    double worst_spans = 0;
    std::uint64_t fetches = 0;
    std::uint64_t fetches_of_copies = 0;
    std::uint64_t tokens_read = 0;
    std::uint64_t tokens_read_again = 0;
    std::uint64_t orders = 0;
    std::uint64_t orders_refused = 0;
    std::uint64_t questions = 0;
    friend bool operator==(trial_result const&, trial_result const&) = default;
};

/// The same plan and seed give the same result. Thread safety: calls from any
/// threads.
trial_result play_trial(trial_plan const& plan, std::uint64_t seed);

} // namespace mulberry

#endif
