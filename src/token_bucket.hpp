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
    void set_rate(double per_second, double most, time_point now);
    double level(time_point now);
    /// Takes units if they are there, or if the bucket is full and could never
    /// hold that many; then it owes the rest.
    bool take(double units, time_point now);
    /// Takes units that will be there within `longest`, ahead of all who take
    /// later: returns after how long they may be used.
    std::optional<duration> take_ahead(double units, duration longest,
                                       time_point now);
    /// The most that take_ahead() would give.
    double within(duration span, time_point now)
    {
        return level(now) +
               per_second_ * std::chrono::duration<double>(span).count();
    }
    /// Units that were taken and not used.
    void put(double units, time_point now);
    /// After how long take() of so many will succeed if nothing else is taken;
    /// duration::max() for never.
    duration until_fits(double units, time_point now);
    double per_second() const { return per_second_; }

private:
    double enough_for(double units) const;

    double per_second_ = 0;
    double most_ = 0;
    double level_ = 0;
    time_point as_of_{};
};

} // namespace mulberry

#endif
