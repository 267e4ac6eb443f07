/// Token bucket that may go into debt for large takes.
#ifndef MULBERRY_TOKEN_BUCKET_HPP
#define MULBERRY_TOKEN_BUCKET_HPP

#include "time_point.hpp"

#include <optional>

namespace mulberry
{

/// Starts empty, with rate and capacity 0. Thread safety: none. No clock; the
/// times passed must not decrease.
class token_bucket
{
public:
    /// Sets rate and capacity from `now` on; the time before counts at the
    /// previous rate. Units beyond the new capacity are lost.
    void set_rate(double per_second, double capacity, time_point now);
    /// Units in the bucket; negative while the bucket is in debt.
    double level(time_point now);
    /// Takes `units` if they are available, or if `units` exceeds the capacity
    /// and the bucket is full; the bucket is then in debt for the difference.
    bool try_take(double units, time_point now);
    /// Takes units that will be available within `max_wait`, before all later
    /// takes. Returns after how long the units may be used, or nullopt if that
    /// is longer than `max_wait`; then nothing is taken.
    std::optional<duration> reserve(double units, duration max_wait,
                                    time_point now);
    /// Units available now plus those that come in within `span`, without
    /// regard to the capacity; reserve() gives that many with this wait.
    double max_reservable(duration span, time_point now)
    {
        return level(now) +
               per_second_ * std::chrono::duration<double>(span).count();
    }
    /// Returns units that were taken but not used; units beyond the capacity
    /// are lost.
    void refund(double units, time_point now);
    /// After how long try_take(units) succeeds if nothing else is taken;
    /// duration::max() if never.
    duration time_until_available(double units, time_point now);
    double per_second() const { return per_second_; }

private:
    /// Level at which `units` can be taken.
    double required_level(double units) const;

    double per_second_ = 0;
    double capacity_ = 0;
    double level_ = 0;
    time_point updated_at_{};
};

} // namespace mulberry

#endif
