/// Manages the shares of teams' allotments that VMs delegated to this VM.
#ifndef MULBERRY_ALLOTMENT_POOL_HPP
#define MULBERRY_ALLOTMENT_POOL_HPP

#include "allotment_limiter.hpp"
#include "token_bucket.hpp"

#include <map>

namespace mulberry
{

/// Gives out no more units than the delegated shares bring in. Thread safety:
/// none. No I/O, no clock.
class allotment_pool
{
public:
    /// `headroom`: how much time's worth of its rate an allotment may save up
    /// in addition to its burst. `max_wait`: how long before they come in units
    /// are given.
    allotment_pool(duration headroom, duration max_wait)
        : headroom_(headroom), max_wait_(max_wait)
    {
    }

    /// With `max_wait`: units are given at most that long before they come in,
    /// and a VM gets no more than an equal part of them while VMs are refused.
    /// Without: as constructed.
    void divide_evenly(std::optional<duration> max_wait)
    {
        even_wait_ = max_wait;
    }
    /// Sets the allotments of all teams that have one. A lowered allotment
    /// applies at once, also to units saved up before.
    void set_allotments(std::map<allotment_id, allotment> const& teams,
                        time_point now);
    /// Accepts the delegated shares of `query`, and allots or refuses the units
    /// requested. The reply leaves out teams that have no allotment here.
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
        /// Sum of the shares, at most 1.
        double total_share = 0;
        token_bucket bucket;
        /// When the units are available for all callers that were refused and
        /// are expected to retry.
        time_point queue_ends_at{};
        /// When each VM last asked for units, and until when the pool counts as
        /// short of units.
        std::map<vm_id, time_point> asked_at;
        time_point short_until{};
    };

    /// Fills the bucket up to `now`, and counts each share until its expiry.
    void refill(team_pool& pool, time_point now) const;
    /// Removes expired shares and sets the bucket's rate from the others.
    void update_rate(team_pool& pool, time_point now) const;
    allotted_units allot(team_pool& pool, allotment_need const& query,
                         time_point now) const;
    static void record_asker(team_pool& pool, vm_id const& vm, time_point now);
    /// The most that one VM may take now.
    double part_of(team_pool& pool, time_point now) const;
    duration max_wait() const { return even_wait_.value_or(max_wait_); }

    duration headroom_;
    duration max_wait_;
    std::optional<duration> even_wait_;
    std::map<allotment_id, team_pool> teams_;
};

} // namespace mulberry

#endif
