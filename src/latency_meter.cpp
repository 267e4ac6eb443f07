#include "latency_meter.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace mulberry
{
namespace
{

namespace ba = boost::accumulators;

constexpr std::array probabilities{0.5, 0.95, 0.99};

using accumulator =
    ba::accumulator_set<double,
                        ba::stats<ba::tag::count, ba::tag::sum, ba::tag::max,
                                  ba::tag::extended_p_square>>;

} // namespace

struct latency_meter::accumulators
{
    accumulator samples{ba::extended_p_square_probabilities = probabilities};
};

latency_meter::latency_meter() : accumulators_(std::make_unique<accumulators>())
{
}

latency_meter::~latency_meter() = default;
latency_meter::latency_meter(latency_meter&&) noexcept = default;
latency_meter& latency_meter::operator=(latency_meter&&) noexcept = default;

void latency_meter::add(duration latency)
{
    accumulators_->samples(std::chrono::duration<double>(latency).count());
}

latency_summary latency_meter::summary() const
{
    accumulator const& samples = accumulators_->samples;
    latency_summary result;
    result.count = ba::count(samples);
    if (result.count == 0)
        return result;
    result.sum = ba::sum(samples);
    result.max = ba::max(samples);
    // With few samples the estimate may exceed the largest sample.
    auto const quantile = [&](std::ptrdiff_t index)
    { return std::min(ba::extended_p_square(samples)[index], result.max); };
    result.median = quantile(0);
    result.p95 = quantile(1);
    result.p99 = quantile(2);
    return result;
}

} // namespace mulberry
