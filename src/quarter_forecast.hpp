/// Progress towards targets to date, and projected to the end of the quarter.
#ifndef MULBERRY_QUARTER_FORECAST_HPP
#define MULBERRY_QUARTER_FORECAST_HPP

#include "quarter_counts.hpp"
#include "quarter_store.hpp"
#include "time_point.hpp"

#include <deque>

namespace mulberry
{

/// Samples of the deployment's totals over the last hour, for projections.
/// Thread safety: none.
class totals_history
{
public:
    /// Records the totals, at most once a minute.
    void sample(quarter_totals const& totals, time_point now);
    void clear() { samples_.clear(); }
    /// Projects the totals to `quarter_end` at the average rate since the
    /// oldest sample. Returns `totals` unchanged if the samples span too little
    /// time to compute a rate, or if the quarter has ended.
    quarter_totals project_totals(quarter_totals const& totals, time_point now,
                                  time_point quarter_end) const;

private:
    struct timed_totals
    {
        time_point at{};
        quarter_totals totals;
    };
    std::deque<timed_totals> samples_;
};

/// Computes the standing of a target. `expected` are the projected totals at
/// the end of the quarter.
target_standing evaluate_target(target_declaration const& target,
                                quarter_totals const& totals,
                                quarter_totals const& expected);

} // namespace mulberry

#endif
