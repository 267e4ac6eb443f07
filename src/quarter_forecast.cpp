#include "quarter_forecast.hpp"

#include <chrono>
#include <cmath>

namespace mulberry
{
namespace
{

constexpr duration sample_interval = std::chrono::minutes(1);
constexpr duration pace_span = std::chrono::hours(1);
/// Less than this tells no pace.
constexpr duration least_span = std::chrono::seconds(10);
constexpr double thin_budget = 0.1;
/// Sums of shares are a little off; a target met exactly is met.
constexpr double tolerance = 1e-9;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// A target's share as a fraction.
struct progress
{
    double part = 0;
    double whole = 0;
};

progress progress_of(target_declaration const& target,
                     quarter_totals const& totals)
{
    auto const found = totals.find(target.application);
    if (found == totals.end())
        return {};
    quarter_counts const& counts = found->second;
    switch (target.measure)
    {
    case target_measure::answered_within:
    {
        auto const bound = counts.bounds.find(target.bound);
        if (bound == counts.bounds.end())
            return {};
        return {static_cast<double>(bound->second.within),
                static_cast<double>(bound->second.counted)};
    }
    case target_measure::stall_share:
        return {static_cast<double>(counts.stalled),
                static_cast<double>(counts.requests)};
    case target_measure::batch_efficiency:
        return {seconds(counts.busy_slot_time), seconds(counts.open_slot_time)};
    }
    return {};
}

bool at_most(target_declaration const& target)
{
    return target.measure == target_measure::stall_share;
}

std::optional<double> share_of(progress const& made)
{
    if (made.whole <= 0)
        return std::nullopt;
    return made.part / made.whole;
}

bool misses(target_declaration const& target, double share)
{
    return at_most(target) ? share > target.share + tolerance
                           : share < target.share - tolerance;
}

std::uint64_t projected(std::uint64_t now, std::uint64_t grown, double factor)
{
    return now + static_cast<std::uint64_t>(
                     std::llround(static_cast<double>(grown) * factor));
}

duration projected(duration now, duration grown, double factor)
{
    return now +
           duration(std::llround(static_cast<double>(grown.count()) * factor));
}

quarter_counts projected(quarter_counts const& now, quarter_counts const& grown,
                         double factor)
{
    quarter_counts result;
    result.requests = projected(now.requests, grown.requests, factor);
    result.stalled = projected(now.stalled, grown.stalled, factor);
    result.busy_slot_time =
        projected(now.busy_slot_time, grown.busy_slot_time, factor);
    result.open_slot_time =
        projected(now.open_slot_time, grown.open_slot_time, factor);
    for (auto const& [bound, counts] : now.bounds)
    {
        auto const more = grown.bounds.find(bound);
        bound_counts const pace =
            more == grown.bounds.end() ? bound_counts{} : more->second;
        result.bounds[bound] = {projected(counts.counted, pace.counted, factor),
                                projected(counts.within, pace.within, factor)};
    }
    return result;
}

} // namespace

void quarter_pace::sample(quarter_totals const& totals, time_point now)
{
    if (!samples_.empty() && now < samples_.back().at + sample_interval)
        return;
    samples_.push_back({now, totals});
    while (samples_.size() > 1 && samples_[1].at + pace_span <= now)
        samples_.pop_front();
}

quarter_totals quarter_pace::at_end(quarter_totals const& totals,
                                    time_point now, time_point ends) const
{
    if (samples_.empty() || now < samples_.front().at + least_span ||
        ends <= now)
        return totals;
    quarter_totals const grown = difference(totals, samples_.front().totals);
    double const factor = seconds(ends - now) / seconds(now - samples_[0].at);
    quarter_totals expected;
    for (auto const& [application, counts] : totals)
        expected.emplace(application,
                         projected(counts, grown.at(application), factor));
    return expected;
}

target_standing standing_of(target_declaration const& target,
                            quarter_totals const& totals,
                            quarter_totals const& expected)
{
    progress const made = progress_of(target, totals);
    target_standing standing;
    standing.target = target;
    standing.reached = share_of(made);
    if (!standing.reached)
        return standing;
    double const missed = at_most(target) ? made.part : made.whole - made.part;
    double const budget =
        made.whole * (at_most(target) ? target.share : 1 - target.share);
    double const left = budget - missed;
    standing.counted = static_cast<std::uint64_t>(made.whole);
    standing.left = static_cast<std::int64_t>(std::floor(left + tolerance));
    standing.forecast = share_of(progress_of(target, expected));
    standing.at_risk =
        left < thin_budget * budget - tolerance ||
        (standing.forecast && misses(target, *standing.forecast));
    return standing;
}

} // namespace mulberry
