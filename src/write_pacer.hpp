/// Spaces the repeated writes of one VM so that they cannot flood the table.
#ifndef MULBERRY_WRITE_PACER_HPP
#define MULBERRY_WRITE_PACER_HPP

#include "time_point.hpp"

namespace mulberry
{

/// After an outage every VM holds thousands of ends that the table missed.
/// Sent at once they would use up its rate, and leases and new claims would be
/// refused with them. So repeats go at a rate that grows with each success and
/// halves with each failure, as a congestion window does. Thread safety: none.
class write_pacer
{
public:
    /// Whether a repeat may go now; then the next is spaced from it.
    bool try_take(time_point now);
    /// When the next repeat may go.
    time_point next_write_at() const { return next_write_at_; }
    /// The time between two repeats.
    duration min_interval() const;
    void succeeded();
    void failed();

private:
    double writes_per_second_ = 20;
    time_point next_write_at_{};
};

} // namespace mulberry

#endif
