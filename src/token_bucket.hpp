/// Units that come in at a rate, up to a most.
#ifndef MULBERRY_TOKEN_BUCKET_HPP
#define MULBERRY_TOKEN_BUCKET_HPP

#include "time_point.hpp"

#include <optional>

namespace mulberry
{

/// Starts empty. Thread safety: none. No clock: times never go back.
class token_bucket
{
public:
    /// Both as of now; what came in before does so at the rate before.
    void set_rate(double per_second, double capacity, time_point now);
    double level(time_point now);
    /// Takes units if they are there, or if the bucket is full and could never
    /// hold that many; then it owes the rest.
    bool try_take(double units, time_point now);
    /// Takes units that will be there within `longest`, ahead of all who take
    /// later: returns after how long they may be used.
    std::optional<duration> reserve(double units, duration max_wait,
                                    time_point now);
    /// The most that reserve() would give.
    double max_reservable(duration span, time_point now)
    {
        return level(now) +
               per_second_ * std::chrono::duration<double>(span).count();
    }
    /// Units that were taken and not used.
    void refund(double units, time_point now);
    /// After how long try_take() of so many will succeed if nothing else is
    /// taken; duration::max() for never.
    duration time_until_available(double units, time_point now);
    double per_second() const { return per_second_; }

private:
    double required_level(double units) const;

    double per_second_ = 0;
    double capacity_ = 0;
    double level_ = 0;
    time_point updated_at_{};
};

} // namespace mulberry

#endif
