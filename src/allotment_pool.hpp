/// The parts of teams' allotments that VMs left to this one.
#ifndef MULBERRY_ALLOTMENT_POOL_HPP
#define MULBERRY_ALLOTMENT_POOL_HPP

#include "allotment_limiter.hpp"
#include "token_bucket.hpp"

#include <map>

namespace mulberry
{

/// Gives out no more than what the parts that VMs left to it bring in. Thread
/// safety: none. No I/O, no clock.
class allotment_pool
{
public:
    /// `headroom`: how many seconds' worth of its rate a team may save up
    /// beside its burst.
    explicit allotment_pool(duration headroom) : headroom_(headroom) {}

    /// A limit that is lowered is in force at once.
    void set_teams(std::map<team_id, allotment> const& teams, time_point now);
    allotment_reply answer(allotment_query const& query, time_point now);

private:
    struct delegated_share
    {
        double share = 0;
        time_point until{};
    };
    struct team_pool
    {
        allotment limit;
        std::map<vm_id, delegated_share> shares;
        time_point next_expiry = never;
        /// The sum of the parts.
        double total_share = 0;
        token_bucket bucket;
        /// Units that those who were sent away will come back for are there by
        /// then.
        time_point queue_ends_at{};
    };

    /// Up to now, at what the parts brought in until each of them ended.
    void refill(team_pool& pool, time_point now) const;
    void update_rate(team_pool& pool, time_point now) const;
    static allotted_units allot(team_pool& pool, team_query const& query,
                                time_point now);

    duration headroom_;
    std::map<team_id, team_pool> teams_;
};

} // namespace mulberry

#endif
