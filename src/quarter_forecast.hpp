/// Where targets stand, and where they will at the quarter's end.
#ifndef MULBERRY_QUARTER_FORECAST_HPP
#define MULBERRY_QUARTER_FORECAST_HPP

#include "quarter_counts.hpp"
#include "quarter_store.hpp"
#include "time_point.hpp"

#include <deque>

namespace mulberry
{

/// Samples of the deployment's totals over the last hour. Thread safety: none.
class totals_history
{
public:
    /// Remembers the totals, at most once a minute.
    void sample(quarter_totals const& totals, time_point now);
    void clear() { samples_.clear(); }
    /// What the totals will be at `ends` if the pace since the oldest sample
    /// goes on; as they are where there is nothing to tell a pace from.
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

/// `expected` are the totals at the quarter's end.
target_standing evaluate_target(target_declaration const& target,
                                quarter_totals const& totals,
                                quarter_totals const& expected);

} // namespace mulberry

#endif
