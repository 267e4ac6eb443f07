/// Teams: whose a request is, how urgent, and how much each may ask for.
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
    /// The tokens of a prompt and the most of its answer.
    tokens
};

/// How much a team may ask for on all VMs together. Value.
struct allotment
{
    allotment_unit unit = allotment_unit::requests;
    /// Units a second; above 0.
    double per_second = 1;
    /// Units beyond that which may be asked for at once.
    double burst = 0;
    /// What a request counts that does not say how many tokens it has.
    double plain_tokens = 1;
    friend bool operator==(allotment const&, allotment const&) = default;
};

/// Value.
struct team
{
    team_id name;
    std::set<key_digest> keys;
    /// Goes before the route's; 0 is the most urgent.
    int priority = 0;
    /// Absent: no limit.
    std::optional<allotment> limit;
    friend bool operator==(team const&, team const&) = default;
};

} // namespace mulberry

#endif
