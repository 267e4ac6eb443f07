/// Finds the route of a request by host and longest path prefix.
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

/// Returns the host in lower case and without its port, the form in which hosts
/// are compared.
std::string normalize_host(std::string_view host);

/// Immutable. Thread safety: const calls from any thread.
class route_table
{
public:
    explicit route_table(std::shared_ptr<routing_config const> config);

    /// Returns the route of `host` with the longest prefix of `path`; null if
    /// no route matches. The port in `host` is ignored.
    route const* find(std::string_view host, std::string_view path) const;
    /// Chooses the service for one request at random by weight. `draw` is a
    /// uniform random number in [0, 1).
    static service_id const& choose_service(route const& from, double draw);
    /// Returns the queue priority of a team's requests on a route: ordered by
    /// the team's priority first, then by the route's. 0 is the most urgent;
    /// the levels have no gaps. `holder` is null if the request has no team:
    /// the route's priority is returned then.
    int effective_priority(route const& matched, team const* holder) const;
    routing_config const& config() const { return *config_; }

private:
    std::shared_ptr<routing_config const> config_;
    /// By normalized host; the routes of a host are ordered by descending
    /// prefix length.
    std::unordered_map<std::string, std::vector<route const*>> by_host_;
    /// Distinct priorities, the most urgent first.
    std::set<int> route_priorities_;
    std::set<int> team_priorities_;
};

} // namespace mulberry

#endif
