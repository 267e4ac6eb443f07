/// Running quantiles of a latency, by Boost.Accumulators.
#ifndef MULBERRY_LATENCY_METER_HPP
#define MULBERRY_LATENCY_METER_HPP

#include "time_point.hpp"

#include <cstdint>
#include <memory>

namespace mulberry
{

/// Statistics of the samples of a meter, in seconds.
struct latency_summary
{
    std::uint64_t count = 0;
    double sum = 0;
    double median = 0;
    double p95 = 0;
    double p99 = 0;
    double max = 0;
    friend bool operator==(latency_summary const&,
                           latency_summary const&) = default;
};

/// Measures quantiles in constant memory: the quantiles are estimates by the
/// P-square algorithm (Jain and Chlamtac, 1985), as implemented by
/// Boost.Accumulators. Thread safety: none.
class latency_meter
{
public:
    latency_meter();
    ~latency_meter();
    latency_meter(latency_meter&&) noexcept;
    latency_meter& operator=(latency_meter&&) noexcept;

    void add(duration latency);
    latency_summary summary() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

} // namespace mulberry

#endif
