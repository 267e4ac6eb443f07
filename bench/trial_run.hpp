/// Replays a trace through a real policy and the real dispatchers.
#ifndef MULBERRY_TRIAL_RUN_HPP
#define MULBERRY_TRIAL_RUN_HPP

#include "trial_trace.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// What one replay measured, of requests that arrived from measured_from on.
struct trial_result
{
    std::string policy;
    std::size_t requests = 0;
    std::size_t failed = 0;
    double stall_share = 0;
    double stall_seconds = 0;
    double stall_p99 = 0;
    double batch_efficiency = 0;
    double answer_p50 = 0;
    double answer_p99 = 0;
    /// Whole answer less the time in the batch slot with its prefix uncached.
    double wait_p99 = 0;
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    /// The answer's p99 of arrivals in each bucket of time, for the plot of a
    /// shift.
    std::vector<double> answer_p99_by_bucket;
    std::vector<double> stall_share_by_bucket;
};

inline constexpr std::size_t trial_bucket_seconds = 30;

/// One VM, one dispatcher a worker, virtual time. Deterministic.
trial_result run_trial(deployment_size const& size, trial_trace const& trace,
                       std::string_view policy, std::uint64_t seed);

/// The value below which that share of the values lies; 0 for none.
double quantile(std::vector<double> values, double share);

} // namespace mulberry

#endif
