#include "fair_shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace mulberry
{
namespace
{

/// Time constant of the rates: long enough for a team that sends one request a
/// second to this VM, short enough for a load of some seconds.
constexpr double rate_seconds = 2;
/// A team with a lower rate is forgotten.
constexpr double least_rate = 0.001;

} // namespace

double fair_shares::team_rate::at(time_point now) const
{
    double const passed = std::chrono::duration<double>(now - as_of).count();
    return per_second * std::exp(-passed / rate_seconds);
}

void fair_shares::on_request(team_id const& team, double weight, time_point now)
{
    team_rate& rate = rates_[team];
    rate.per_second = rate.at(now) + 1 / rate_seconds;
    rate.as_of = now;
    rate.weight = weight;
}

/// Raises a common level until the teams' rates, none above the level times its
/// weight, fill the room.
double fair_shares::fair_level(double refused, time_point now) const
{
    std::vector<std::pair<double, double>> by_level;
    double room = 0;
    double weights = 0;
    for (auto const& [team, rate] : rates_)
    {
        double const current = rate.at(now);
        by_level.emplace_back(current / rate.weight, rate.weight);
        room += current * (1 - refused);
        weights += rate.weight;
    }
    std::sort(by_level.begin(), by_level.end());
    double fair = 0;
    for (auto const& [level, weight] : by_level)
    {
        fair = room / weights;
        if (level >= fair)
            break;
        room -= level * weight;
        weights -= weight;
    }
    return fair;
}

void fair_shares::set_refused(double share, time_point now)
{
    std::erase_if(rates_, [now](auto const& each)
                  { return each.second.at(now) < least_rate; });
    double const level = share > 0 ? fair_level(share, now) : 0;
    for (auto& [team, rate] : rates_)
        rate.refused =
            share > 0 ? std::max(0.0, 1 - level * rate.weight / rate.at(now))
                      : 0;
}

double fair_shares::refused_share(team_id const& team) const
{
    auto const known = rates_.find(team);
    return known == rates_.end() ? 0 : known->second.refused;
}

} // namespace mulberry
