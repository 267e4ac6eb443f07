#include "route_table.hpp"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <iterator>

namespace mulberry
{

std::string normalize_host(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return key;
}

route_table::route_table(std::shared_ptr<routing_config const> config)
    : config_(std::move(config))
{
    for (route const& each : config_->routes)
    {
        by_host_[normalize_host(each.host)].push_back(&each);
        route_priorities_.insert(each.priority);
    }
    for (team const& each : config_->teams)
        team_priorities_.insert(each.priority);
    for (auto& [host, routes] : by_host_)
        std::stable_sort(routes.begin(), routes.end(),
                         [](route const* a, route const* b)
                         { return a->prefix.size() > b->prefix.size(); });
}

route const* route_table::find(std::string_view host,
                               std::string_view path) const
{
    auto const routes = by_host_.find(normalize_host(host));
    if (routes == by_host_.end())
        return nullptr;
    for (route const* const each : routes->second)
        if (path.starts_with(each->prefix))
            return each;
    return nullptr;
}

int route_table::effective_priority(route const& matched,
                                    team const* holder) const
{
    if (holder == nullptr)
        return matched.priority;
    auto const rank = [](std::set<int> const& among, int priority)
    { return std::distance(among.begin(), among.lower_bound(priority)); };
    auto const levels = static_cast<std::ptrdiff_t>(route_priorities_.size());
    return static_cast<int>(rank(team_priorities_, holder->priority) * levels +
                            rank(route_priorities_, matched.priority));
}

service_id const& route_table::choose_service(route const& from, double draw)
{
    double total = 0;
    for (weighted_service const& each : from.services)
        total += each.weight;
    double left = draw * total;
    for (weighted_service const& each : from.services)
    {
        if (left < each.weight)
            return each.service;
        left -= each.weight;
    }
    return from.services.back().service;
}

} // namespace mulberry
