/// VMs leave their equal parts of each allotment to pools, and ask the pools
/// for what their requests need.
#ifndef MULBERRY_POOLED_ALLOTMENT_HPP
#define MULBERRY_POOLED_ALLOTMENT_HPP

#include "allotment_keeper.hpp"
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
class pooled_allotment final : public allotment_keeper
{
public:
    pooled_allotment(vm_id self, allotment_terms terms);

    void set_teams(std::map<team_id, allotment> const& teams,
                   time_point now) override;
    void set_members(allotment_members members, time_point now) override;
    void request(ticket_id ticket, team_id const& team, double units,
                 time_point give_up_at, time_point now) override;
    void withdraw(ticket_id ticket) override;
    void give_back(team_id const& team, double units, time_point now) override;
    allotment_reply answer(allotment_question const& question,
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
    struct units_in_hand
    {
        double units = 0;
        time_point from{};
        time_point until{};
    };
    /// The half of this VM's part that one pool gets.
    struct left_half
    {
        vm_id pool;
        /// Until then it may be in use there.
        time_point until{};
    };
    /// A pool had less than that, and will until then.
    struct shortage
    {
        double least = 0;
        time_point until{};
        time_point come_back_at{};
    };
    struct team_state
    {
        std::array<left_half, pools_per_team> halves;
        std::deque<units_in_hand> in_hand;
        std::deque<waiting_request> waiting;
        std::map<vm_id, shortage> shortages;
        bool asking = false;
        /// Those that wait are looked at again then.
        time_point review_at = never;
        /// Units a second that were used here lately.
        double use = 0;
        time_point use_as_of{};
    };
    struct open_question
    {
        vm_id pool;
        time_point asked_at{};
        /// The team that units were asked for; empty for none.
        team_id team;
        double least = 0;
    };

    void choose_pools();
    std::vector<vm_id> pools_of(team_id const& team) const;
    bool suspect(vm_id const& pool) const
    {
        return avoid_until_.count(pool) > 0;
    }
    bool avoided(vm_id const& pool, time_point now) const;
    /// Where a team's units are to be had, the likeliest first.
    std::vector<vm_id> pools_to_ask(team_id const& team,
                                    team_state const& state,
                                    time_point now) const;
    void leave_parts(time_point now);
    void try_suspects(time_point now);
    bool lacks(team_state const& state, vm_id const& pool, double least,
               time_point now) const;
    void settle(team_id const& team, time_point now);
    /// Whether pools that give so many units would together owe more than a
    /// team may use over its allotment.
    bool oversized(team_id const& team, double units) const;
    /// Whether those that wait have something to wait for; else the first of
    /// them was refused.
    bool pursue(team_id const& team, team_state& state, time_point now);
    static void await_units(team_state& state, time_point now);
    void ask(vm_id const& pool, team_id const& team, team_state& state,
             double least, time_point now);
    bool come_back_soon(team_state& state, time_point come_back_at,
                        time_point now);
    void expire_waiting(time_point now);
    bool take_in_hand(team_state& state, double units, time_point now) const;
    /// Units in hand; with those that may be used later, if they are wanted.
    double in_hand(team_state& state, bool later_too, time_point now) const;
    void note_use(team_state& state, double units, time_point now) const;
    void send(vm_id const& pool, open_question about,
              allotment_question question);

    vm_id const self_;
    /// How long units that were given may be used.
    duration const unit_life_;
    /// How much of its rate a team may save up beside its burst.
    duration const headroom_;
    /// Units that one pool may owe.
    double const may_owe_;
    allotment_pool pool_;
    allotment_members members_;
    /// This VM's parts count from then on.
    time_point parts_from_ = never;
    std::map<team_id, allotment> limits_;
    std::map<team_id, team_state> teams_;
    /// VMs that may keep pools, by rank.
    std::vector<vm_id> pools_;
    /// VMs that did not answer, until they do.
    std::map<vm_id, time_point> avoid_until_;
    std::map<std::uint64_t, open_question> open_;
    std::uint64_t last_number_ = 0;
    time_point leave_at_ = never;
    std::vector<allotment_action> actions_;
};

} // namespace mulberry

#endif
