/// Limits the rate at which one VM repeats table writes.
#ifndef MULBERRY_WRITE_PACER_HPP
#define MULBERRY_WRITE_PACER_HPP

#include "time_point.hpp"

namespace mulberry
{

/// After an outage of the table each VM may hold thousands of call outcomes
/// that are not written. Sent at once they would use up the rate of the table,
/// and lease renewals and new claims would be refused. Repeated writes
/// therefore go at a rate that grows by a constant with each success and is
/// halved by each failure, as a congestion window does (AIMD).
///
/// Thread safety: none.
class write_pacer
{
public:
    /// Returns whether a repeated write may be sent now. If so, the time of
    /// the next one is set one interval later.
    bool try_take(time_point now);
    /// Returns the time from which the next repeated write may be sent.
    time_point next_write_at() const { return next_write_at_; }
    /// Returns the time between two repeated writes at the current rate.
    duration min_interval() const;
    void succeeded();
    void failed();

private:
    double writes_per_second_ = 20;
    time_point next_write_at_{};
};

} // namespace mulberry

#endif
