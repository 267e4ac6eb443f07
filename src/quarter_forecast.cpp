#include "quarter_forecast.hpp"

#include <chrono>
#include <cmath>

namespace mulberry
{
namespace
{

constexpr duration sample_interval = std::chrono::minutes(1);
constexpr duration sample_window = std::chrono::hours(1);
/// A shorter span is too short to compute a rate.
constexpr duration min_sample_span = std::chrono::seconds(10);
constexpr double at_risk_budget_fraction = 0.1;
/// Tolerates floating-point rounding, so that a target met exactly counts as
/// met.
constexpr double rounding_tolerance = 1e-9;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// A target's share as a fraction; no data if the denominator is 0.
struct ratio
{
    double numerator = 0;
    double denominator = 0;
};

ratio ratio_of(target_declaration const& target, quarter_totals const& totals)
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

bool is_upper_limit(target_declaration const& target)
{
    return target.measure == target_measure::stall_share;
}

std::optional<double> share_from(ratio const& current)
{
    if (current.denominator <= 0)
        return std::nullopt;
    return current.numerator / current.denominator;
}

bool misses_target(target_declaration const& target, double share)
{
    return is_upper_limit(target) ? share > target.share + rounding_tolerance
                                  : share < target.share - rounding_tolerance;
}

std::uint64_t extrapolated(std::uint64_t now, std::uint64_t growth,
                           double factor)
{
    return now + static_cast<std::uint64_t>(
                     std::llround(static_cast<double>(growth) * factor));
}

duration extrapolated(duration now, duration growth, double factor)
{
    return now +
           duration(std::llround(static_cast<double>(growth.count()) * factor));
}

quarter_counts extrapolated(quarter_counts const& now,
                            quarter_counts const& growth, double factor)
{
    quarter_counts result;
    result.requests = extrapolated(now.requests, growth.requests, factor);
    result.stalled = extrapolated(now.stalled, growth.stalled, factor);
    result.busy_slot_time =
        extrapolated(now.busy_slot_time, growth.busy_slot_time, factor);
    result.open_slot_time =
        extrapolated(now.open_slot_time, growth.open_slot_time, factor);
    for (auto const& [bound, counts] : now.bounds)
    {
        auto const more = growth.bounds.find(bound);
        bound_counts const bound_growth =
            more == growth.bounds.end() ? bound_counts{} : more->second;
        result.bounds[bound] = {
            extrapolated(counts.counted, bound_growth.counted, factor),
            extrapolated(counts.within, bound_growth.within, factor)};
    }
    return result;
}

} // namespace

void totals_history::sample(quarter_totals const& totals, time_point now)
{
    if (!samples_.empty() && now < samples_.back().at + sample_interval)
        return;
    samples_.push_back({now, totals});
    while (samples_.size() > 1 && samples_[1].at + sample_window <= now)
        samples_.pop_front();
}

quarter_totals totals_history::project_totals(quarter_totals const& totals,
                                              time_point now,
                                              time_point quarter_end) const
{
    if (samples_.empty() || now < samples_.front().at + min_sample_span ||
        quarter_end <= now)
        return totals;
    quarter_totals const growth = difference(totals, samples_.front().totals);
    double const factor =
        seconds(quarter_end - now) / seconds(now - samples_[0].at);
    quarter_totals expected;
    for (auto const& [application, counts] : totals)
        expected.emplace(application,
                         extrapolated(counts, growth.at(application), factor));
    return expected;
}

target_standing evaluate_target(target_declaration const& target,
                                quarter_totals const& totals,
                                quarter_totals const& expected)
{
    ratio const current = ratio_of(target, totals);
    target_standing standing;
    standing.target = target;
    standing.reached = share_from(current);
    if (!standing.reached)
        return standing;
    double const missed = is_upper_limit(target)
                              ? current.numerator
                              : current.denominator - current.numerator;
    double const budget =
        current.denominator *
        (is_upper_limit(target) ? target.share : 1 - target.share);
    double const left = budget - missed;
    standing.counted = static_cast<std::uint64_t>(current.denominator);
    standing.left =
        static_cast<std::int64_t>(std::floor(left + rounding_tolerance));
    standing.forecast = share_from(ratio_of(target, expected));
    standing.at_risk =
        left < at_risk_budget_fraction * budget - rounding_tolerance ||
        (standing.forecast && misses_target(target, *standing.forecast));
    return standing;
}

} // namespace mulberry
