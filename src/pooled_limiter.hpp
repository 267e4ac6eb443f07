/// VMs leave their equal parts of each allotment to pools, and ask the pools
/// for what their requests need.
#ifndef MULBERRY_POOLED_LIMITER_HPP
#define MULBERRY_POOLED_LIMITER_HPP

#include "allotment_limiter.hpp"
#include "allotment_pool.hpp"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace mulberry
{

/// Load it answers: a team's callers are at a few of many VMs, and not the same
/// ones for long. Each VM has an equal part of each allotment. It leaves half
/// of it to each of two VMs that keep pools for that team, for a short time at
/// a time, and never to two VMs at once; units that a pool gives are used soon
/// or lost. So all VMs together use no more than the allotment whoever hears
/// whom: a VM that is cut off or gone leaves nothing to a pool and gets nothing
/// out of it. When a pool is lost the other has half of the allotment, and the
/// next VM in turn the rest as soon as the parts left to the lost one have
/// ended. Thread safety: none. No I/O, no clock.
class pooled_limiter final : public allotment_limiter
{
public:
    pooled_limiter(vm_id self, allotment_terms terms);

    void set_teams(std::map<team_id, allotment> const& teams,
                   time_point now) override;
    void set_members(allotment_members members, time_point now) override;
    void request(ticket_id ticket, team_id const& team, double units,
                 time_point give_up_at, time_point now) override;
    void withdraw(ticket_id ticket) override;
    void give_back(team_id const& team, double units, time_point now) override;
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
        time_point give_up_at{};
    };
    /// Units that one reply gave; used between two moments.
    struct usable_units
    {
        double units = 0;
        time_point from{};
        time_point until{};
    };
    /// The half of this VM's part that one pool gets.
    struct delegated_half
    {
        vm_id pool;
        /// Until then it may be in use there.
        time_point until{};
    };
    /// A pool had less than that, and will until then.
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
        bool query_open = false;
        /// Those that wait are looked at again then.
        time_point review_at = never;
        /// Units a second that were used here lately.
        double use = 0;
        time_point use_as_of{};
    };
    struct open_query
    {
        vm_id pool;
        time_point asked_at{};
        /// The team that units were asked for; empty for none.
        team_id team;
        double min_units = 0;
    };

    void choose_pools();
    std::vector<vm_id> pools_of(team_id const& team) const;
    bool is_unresponsive(vm_id const& pool) const
    {
        return unresponsive_until_.count(pool) > 0;
    }
    bool is_avoided(vm_id const& pool, time_point now) const;
    /// Where a team's units are to be had, the likeliest first.
    std::vector<vm_id> pools_to_ask(team_id const& team,
                                    team_state const& state,
                                    time_point now) const;
    void delegate_shares(time_point now);
    void probe_unresponsive_pools(time_point now);
    bool known_short(team_state const& state, vm_id const& pool,
                     double min_units, time_point now) const;
    void settle_waiting(team_id const& team, time_point now);
    /// Whether pools that give so many units would together owe more than a
    /// team may use over its allotment.
    bool exceeds_pool_capacity(team_id const& team, double units) const;
    /// Whether those that wait have something to wait for; else the first of
    /// them was refused.
    bool query_pools(team_id const& team, team_state& state, time_point now);
    static void schedule_review(team_state& state, time_point now);
    void ask(vm_id const& pool, team_id const& team, team_state& state,
             double min_units, time_point now);
    bool wait_or_refuse(team_state& state, time_point retry_at, time_point now);
    void expire_waiting(time_point now);
    bool try_use(team_state& state, double units, time_point now) const;
    /// Units in hand; with those that may be used later, if they are wanted.
    double usable_sum(team_state& state, bool later_too, time_point now) const;
    void record_use(team_state& state, double units, time_point now) const;
    void send(vm_id const& pool, open_query about, allotment_query query);

    vm_id const self_;
    /// How long units that were given may be used.
    duration const unit_lifetime_;
    /// How much of its rate a team may save up beside its burst.
    duration const headroom_;
    /// Units that one pool may owe.
    double const max_debt_per_pool_;
    allotment_pool pool_;
    allotment_members members_;
    /// This VM's parts count from then on.
    time_point shares_valid_from_ = never;
    std::map<team_id, allotment> limits_;
    std::map<team_id, team_state> teams_;
    /// VMs that may keep pools, by rank.
    std::vector<vm_id> pools_;
    /// VMs that did not answer, until they do.
    std::map<vm_id, time_point> unresponsive_until_;
    std::map<std::uint64_t, open_query> open_queries_;
    std::uint64_t last_number_ = 0;
    time_point delegate_at_ = never;
    std::vector<allotment_action> actions_;
};

} // namespace mulberry

#endif
