/// Keeps allotments of teams and workers by pools: VMs delegate their equal
/// shares of each allotment to pools, and query the pools for the units that
/// their requests need.
#ifndef MULBERRY_POOLED_LIMITER_HPP
#define MULBERRY_POOLED_LIMITER_HPP

#include "allotment_limiter.hpp"
#include "allotment_pool.hpp"
#include "unit_forecast.hpp"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace mulberry
{

/// "Team" below is whatever has the allotment, a team or a worker. Lets a team
/// use its whole allotment although its callers use only a few of many VMs, and
/// change these VMs often. Each VM has an equal share of each
/// allotment. It delegates one half of the share to each of two VMs that keep
/// pools for the team, for a short time at a time; a half is never delegated to
/// two VMs at once. Units that a pool gives expire soon if they are not used.
/// All VMs together therefore stay within the allotment under any network
/// partition: a VM that is partitioned or down neither delegates a share to a
/// pool nor receives units. When one pool is lost the other pool has half of
/// the allotment, and the next VM by rank gets the rest as soon as the shares
/// delegated to the lost pool have expired. Thread safety: none. No I/O, no
/// clock.
class pooled_limiter final : public allotment_limiter
{
public:
    pooled_limiter(vm_id self, allotment_terms terms);

    void set_allotments(std::map<allotment_id, allotment> const& teams,
                        time_point now) override;
    void set_members(allotment_members members, time_point now) override;
    void refuse_early(std::optional<duration> max_wait) override;
    allotment_counts counts() const override { return counts_; }
    void request(unit_request const& asked, time_point now) override;
    void withdraw(ticket_id ticket) override;
    void give_back(allotment_id const& team, double units,
                   time_point now) override;
    allotment_reply answer(allotment_query const& query,
                           time_point now) override;
    void on_reply(std::uint64_t number,
                  std::optional<allotment_reply> const& reply,
                  time_point now) override;
    std::vector<allotment_action> run(time_point now) override;
    time_point next_due() const override;

private:
    static constexpr std::size_t pools_per_team = 2;

    struct waiting_request
    {
        ticket_id ticket;
        double units = 0;
        /// When it waits no longer.
        time_point give_up_at{};
        time_point caller_gives_up_at{};
        time_point objective_at = never;
        /// When pools that refused its units are asked once more.
        time_point ask_again_at = never;
    };
    /// Units of one reply, with the time span in which they may be used.
    struct usable_units
    {
        double units = 0;
        time_point from{};
        time_point until{};
    };
    /// One half of this VM's share of a team's allotment.
    struct delegated_half
    {
        vm_id pool;
        /// Until when the pool may use the half.
        time_point until{};
    };
    /// A pool has less than `min_units` available until `until`.
    struct shortage
    {
        double min_units = 0;
        time_point until{};
        time_point retry_at{};
    };
    struct team_state
    {
        std::array<delegated_half, pools_per_team> halves;
        std::deque<usable_units> usable;
        std::deque<waiting_request> waiting;
        std::map<vm_id, shortage> shortages;
        /// Pools that were queried for waiting requests and have not answered.
        std::size_t open_queries = 0;
        /// When a pool last answered a query for units.
        time_point answered_at{};
        /// When another pool is queried unless the first answers before.
        time_point second_query_at = never;
        unit_forecast forecast;
        /// When the waiting requests are examined again.
        time_point review_at = never;
        /// Recent use at this VM in units per second, as an exponentially
        /// decaying average.
        double use = 0;
        time_point use_as_of{};
    };
    struct open_query
    {
        vm_id pool;
        time_point asked_at{};
        /// The team that units were requested for; empty for none.
        allotment_id team;
        double min_units = 0;
    };

    void choose_pools();
    /// The VMs that keep pools for a team, the same on all VMs that see the
    /// same members. Unresponsive VMs are replaced by the next by rank.
    std::vector<vm_id> pools_of(allotment_id const& team) const;
    bool is_unresponsive(vm_id const& pool) const
    {
        return next_probe_at_.count(pool) > 0;
    }
    /// Whether the pool did not answer recently and is not queried yet.
    bool query_suspended(vm_id const& pool, time_point now) const;
    /// Pools that may have units of the team, in the order in which they are
    /// queried.
    std::vector<vm_id> pools_to_query(allotment_id const& team,
                                      team_state const& state,
                                      time_point now) const;
    /// Renews the delegations of this VM's shares.
    void delegate_shares(time_point now);
    /// Sends empty queries to pools that did not answer, since a pool that
    /// answers is used again.
    void probe_unresponsive_pools(time_point now);
    /// Whether the pool is known to have fewer than `min_units` available.
    bool known_short(team_state const& state, vm_id const& pool,
                     double min_units, time_point now) const;
    /// Admits waiting requests in order while there are usable units, then
    /// queries pools for the others.
    void settle_waiting(allotment_id const& team, time_point now);
    /// Whether two pools that each give `units` would together be in debt for
    /// more than the team may exceed its allotment by.
    bool exceeds_pool_capacity(allotment_id const& team, double units) const;
    /// Queries a pool for the waiting requests, unless usable units or a
    /// pool's units will be available soon. Returns false if the first waiting
    /// request was refused instead.
    bool query_pools(allotment_id const& team, team_state& state,
                     time_point now);
    static void schedule_review(team_state& state, time_point now);
    void query_pool_for(vm_id const& pool, allotment_id const& team,
                        team_state& state, double min_units, time_point now);
    /// How long a pool may be silent before another one is queried.
    duration second_query_delay() const;
    /// Schedules the query of another pool if the only open query is late.
    void schedule_second_query(allotment_id const& team, team_state& state,
                               time_point now);
    /// Queries another pool for the waiting requests.
    void query_second_pool(allotment_id const& team, team_state& state,
                           time_point now);
    /// Whether the units of the newest waiting request are expected only after
    /// its wait is over.
    bool is_hopeless(team_state& state, time_point now) const;
    /// When a refused caller should retry. `available_at`: when there may be
    /// units for it.
    static time_point return_time(waiting_request const& refused,
                                  time_point available_at, time_point now);
    void refuse(team_state& state, waiting_request const& refused,
                time_point available_at, time_point retry_at, time_point now);
    bool wait_or_refuse(team_state& state, time_point available_at,
                        time_point retry_at, time_point now);
    /// Refuses the waiting requests that have reached their `give_up_at`.
    void expire_waiting(time_point now);
    bool try_use(team_state& state, double units, time_point now) const;
    /// Sum of the units that may be used now; with `later_too`, also of those
    /// that may be used later.
    double usable_sum(team_state& state, bool later_too, time_point now) const;
    void record_use(team_state& state, double units, time_point now) const;
    void send(vm_id const& pool, open_query about, allotment_query query);

    vm_id const self_;
    /// How long units of a reply may be used.
    duration const unit_lifetime_;
    /// How much time's worth of its rate a team may save up in addition to its
    /// burst.
    duration const headroom_;
    /// Units that one pool may be in debt for.
    double const max_debt_per_pool_;
    duration const max_unit_wait_;
    /// Set by refuse_early().
    std::optional<duration> early_wait_;
    allotment_counts counts_;
    allotment_pool pool_;
    allotment_members members_;
    /// When this VM may begin to delegate its shares.
    time_point shares_valid_from_ = never;
    std::map<allotment_id, allotment> limits_;
    std::map<allotment_id, team_state> teams_;
    /// VMs that may keep pools, by rank.
    std::vector<vm_id> pools_;
    /// Unresponsive VMs, and VMs that do not know a team, each with the time of
    /// the next probe; an entry is removed when the VM answers.
    std::map<vm_id, time_point> next_probe_at_;
    std::map<std::uint64_t, open_query> open_queries_;
    std::uint64_t last_number_ = 0;
    time_point delegate_at_ = never;
    std::vector<allotment_action> actions_;
};

} // namespace mulberry

#endif
