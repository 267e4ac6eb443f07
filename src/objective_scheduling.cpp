#include "objective_scheduling.hpp"

#include <algorithm>
#include <map>

namespace mulberry
{
namespace
{

bool serves(route const& each, service_id const& service)
{
    return std::any_of(each.services.begin(), each.services.end(),
                       [&service](weighted_service const& part)
                       { return part.service == service; });
}

bool is_engine(routing_config const& config, service_id const& service)
{
    auto const found = config.services.find(service);
    return found != config.services.end() && found->second.engine.has_value();
}

struct objective_range
{
    duration shortest = duration::max();
    duration longest = duration::min();
};

} // namespace

std::optional<objective_mode> parse_objective_mode(std::string_view name)
{
    if (name == "auto")
        return objective_mode::automatic;
    if (name == "on")
        return objective_mode::on;
    if (name == "off")
        return objective_mode::off;
    return std::nullopt;
}

bool ranks_follow_objectives(routing_config const& config,
                             service_id const& service)
{
    if (!is_engine(config, service))
        return false;
    std::map<int, objective_range> by_rank;
    for (route const& each : config.routes)
    {
        if (!serves(each, service))
            continue;
        objective_range& range = by_rank[each.priority];
        range.shortest = std::min(range.shortest, each.latency_objective);
        range.longest = std::max(range.longest, each.latency_objective);
    }
    if (by_rank.size() < 2)
        return false;
    duration longest_before = duration::min();
    for (auto const& [rank, range] : by_rank)
    {
        if (range.shortest < longest_before)
            return false;
        longest_before = std::max(longest_before, range.longest);
    }
    return true;
}

bool uses_objectives(objective_mode mode, routing_config const& config,
                     service_id const& service)
{
    if (mode == objective_mode::automatic)
        return ranks_follow_objectives(config, service);
    return mode == objective_mode::on && is_engine(config, service);
}

bool limits_by_objective(objective_mode mode, routing_config const& config)
{
    return std::any_of(config.services.begin(), config.services.end(),
                       [&](auto const& each)
                       { return uses_objectives(mode, config, each.first); });
}

std::optional<duration> delay_objective(objective_mode mode,
                                        routing_config const& config,
                                        service_id const& service)
{
    auto const found = config.services.find(service);
    if (found == config.services.end() || found->second.engine ||
        !limits_by_objective(mode, config))
        return std::nullopt;
    std::optional<duration> shortest;
    for (route const& each : config.routes)
        if (serves(each, service))
            shortest = std::min(shortest.value_or(duration::max()),
                                each.latency_objective);
    return shortest;
}

} // namespace mulberry
