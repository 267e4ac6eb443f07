/// Teams with their keys, priorities and allotments.
#ifndef MULBERRY_TEAM_HPP
#define MULBERRY_TEAM_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace mulberry
{

/// What an allotment counts.
enum class allotment_unit
{
    requests,
    /// The tokens of the prompt plus the maximum number of tokens of the
    /// answer.
    tokens
};

/// Rate limit of a team over all VMs together. Value.
struct allotment
{
    allotment_unit unit = allotment_unit::requests;
    /// Units per second; above 0.
    double per_second = 1;
    /// Units that may be used at once in addition to the rate.
    double burst = 0;
    /// Cost in tokens of a request that does not state its number of tokens.
    double plain_tokens = 1;
    friend bool operator==(allotment const&, allotment const&) = default;
};

/// The name under which VMs share a team's allotment.
inline allotment_id allotment_key(team_id const& team)
{
    return allotment_id(team.str());
}

/// A group of callers that share keys, a priority and an allotment. Value.
struct team
{
    team_id name;
    std::set<key_digest> keys;
    /// Compared before the route's priority; 0 is the most urgent.
    int priority = 0;
    /// nullopt: no limit.
    std::optional<allotment> limit;
    friend bool operator==(team const&, team const&) = default;
};

} // namespace mulberry

#endif
