/// Forecasts when units of an allotment will be available at one VM.
#ifndef MULBERRY_UNIT_FORECAST_HPP
#define MULBERRY_UNIT_FORECAST_HPP

#include "time_point.hpp"

#include <deque>
#include <optional>

namespace mulberry
{

/// Load it answers: a team asks for several times its allotment. Its requests
/// would queue up to the longest wait, so that each one that is admitted begins
/// late. Requests whose units will not come in within their wait are refused on
/// arrival instead, and the queue stays short. Thread safety: none. No clock;
/// the times passed must not decrease.
class unit_forecast
{
public:
    /// Records units that a pool gave to this VM.
    void on_units(double units, time_point now);
    /// Records that a pool refused units; callers refused there are expected to
    /// return at `retry_at`.
    void on_short(time_point retry_at, time_point now);
    /// Whether a pool refused units a moment ago.
    bool is_short(time_point now) const { return now < short_until_; }
    /// Whether a pool refused units within the last two seconds: a shortage may
    /// go on although it has just given some.
    bool was_short(time_point now) const
    {
        return short_until_ != time_point() &&
               now < short_until_ + duration(shortage_memory);
    }
    /// Units per second that pools gave recently.
    double per_second(time_point now) const;
    /// When `units` will have been given at the recent rate; nullopt while the
    /// allotment is not short or no units were given recently.
    std::optional<time_point> available_at(double units, time_point now) const;
    /// Returns when a refused caller should retry, and counts on its return:
    /// later calls return later times, as far apart as the rate requires, up to
    /// `max_retry_delay` from now. The pool's time if no units were given
    /// recently.
    time_point reserve_return(double units, time_point now);

    static constexpr std::chrono::seconds max_retry_delay{5};

private:
    static constexpr std::chrono::milliseconds shortage_memory{1500};

    struct given_units
    {
        time_point at{};
        double units = 0;
    };

    std::deque<given_units> given_;
    time_point short_until_{};
    time_point pool_retry_at_{};
    /// When the units are available for all refused callers that are expected
    /// to return.
    time_point returns_end_at_{};
};

} // namespace mulberry

#endif
