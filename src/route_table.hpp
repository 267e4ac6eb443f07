/// Finds the route of a request: the longest prefix of its host.
#ifndef MULBERRY_ROUTE_TABLE_HPP
#define MULBERRY_ROUTE_TABLE_HPP

#include "routing_config.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mulberry
{

/// A host as routes compare it: without its port, in lower case.
std::string host_key(std::string_view host);

/// Immutable. Thread safety: const calls from any thread.
class route_table
{
public:
    explicit route_table(std::shared_ptr<routing_config const> config);

    /// The route of that host whose prefix is the longest that begins the
    /// path; null when there is none. The port of `host` does not count.
    route const* find(std::string_view host, std::string_view path) const;
    /// The service for one request, drawn by weight; `draw` is in [0, 1).
    static service_id const& choose_service(route const& from, double draw);
    /// How urgent a team's requests on a route are: by the team first, among
    /// equals by the route. 0 is the most urgent, and no level between is
    /// unused. Without a team the route's priority.
    int urgency(route const& matched, team const* holder) const;
    routing_config const& config() const { return *config_; }

private:
    std::shared_ptr<routing_config const> config_;
    /// Per host, the longest prefix first.
    std::unordered_map<std::string, std::vector<route const*>> by_host_;
    /// Each once, the most urgent first.
    std::set<int> route_priorities_;
    std::set<int> team_priorities_;
};

} // namespace mulberry

#endif
