/// Which requests of a team fit into its allotment, over all VMs together.
#ifndef MULBERRY_ALLOTMENT_LIMITER_HPP
#define MULBERRY_ALLOTMENT_LIMITER_HPP

#include "error_kind.hpp"
#include "ids.hpp"
#include "service_scheduler.hpp"
#include "team.hpp"
#include "time_point.hpp"
#include "vm_rank.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace mulberry
{

/// How exactly allotments are kept. Value.
struct allotment_terms
{
    /// In every span of that length a team's requests on all VMs count no more
    /// than its rate over the span and its burst allow, and a little over.
    duration window = std::chrono::seconds(8);
    /// That little, as a share.
    double over = 0.1;
    /// And so many units, for single requests larger than a burst.
    double slack = 0;
    friend bool operator==(allotment_terms const&,
                           allotment_terms const&) = default;
};

/// The VMs among which allotments are shared out. Value.
struct allotment_members
{
    /// Those that may keep a pool.
    std::vector<ranked_vm> candidates;
    /// All there are.
    std::size_t count = 1;
    /// This VM is one of them.
    bool joined = false;
    /// No process ran under this VM's name before, so that others may not count
    /// it yet.
    bool first_incarnation = false;
    friend bool operator==(allotment_members const&,
                           allotment_members const&) = default;
};

/// What a VM asks of the pool of one team. Value.
struct team_query
{
    team_id team;
    /// The part of the team's allotment that the VM leaves to the pool from
    /// now on; 0: no change.
    double share = 0;
    /// How many units it needs at least; 0: none.
    double min_units = 0;
    /// How many it can use.
    double max_units = 0;
    friend bool operator==(team_query const&, team_query const&) = default;
};

struct allotment_query
{
    vm_id from;
    /// How long the parts are left to the pool.
    duration delegated_for{};
    std::vector<team_query> teams;
    friend bool operator==(allotment_query const&,
                           allotment_query const&) = default;
};

/// What a pool gives to a VM. Value.
struct allotted_units
{
    team_id team;
    double units = 0;
    /// With units: after how long they may be used. Without: after how long the
    /// least would be there.
    duration available_in{};
    /// Without units: after how long they would be there if everybody who was
    /// sent away before comes back first.
    duration retry_in{};
    friend bool operator==(allotted_units const&,
                           allotted_units const&) = default;
};

using allotment_reply = std::vector<allotted_units>;

/// A request waits so long for units that come in, rather than being refused.
inline constexpr std::chrono::milliseconds max_unit_wait{200};

/// Ask another VM, or this one; the reply goes to on_reply().
struct query_pool
{
    vm_id pool;
    std::uint64_t number = 0;
    allotment_query query;
};

/// The request fits, or does not.
struct allotment_decision
{
    ticket_id ticket;
    std::optional<error> refused;
};

using allotment_action = std::variant<query_pool, allotment_decision>;

/// A way that keeps nobody waiting and asks nobody leaves out what that needs.
/// Thread safety: none. No I/O, no clock.
class allotment_limiter
{
public:
    virtual ~allotment_limiter() = default;

    /// The teams that have a limit.
    virtual void set_teams(std::map<team_id, allotment> const& teams,
                           time_point now) = 0;
    virtual void set_members(allotment_members members, time_point now) = 0;
    /// Whether so many units fit: settled once, in an action of run(), at
    /// `give_up_at` at the latest. Precondition: the ticket is new.
    virtual void request(ticket_id ticket, team_id const& team, double units,
                         time_point give_up_at, time_point now) = 0;
    /// The request is not wanted any more; nothing is said of it.
    virtual void withdraw(ticket_id /*ticket*/) {}
    /// A request that fitted was not run after all.
    virtual void give_back(team_id const& team, double units,
                           time_point now) = 0;
    /// Another VM's question, or this one's own.
    virtual allotment_reply answer(allotment_query const& /*question*/,
                                   time_point /*now*/)
    {
        return {};
    }
    /// Nothing: there was no answer.
    virtual void on_reply(std::uint64_t /*number*/,
                          std::optional<allotment_reply> const& /*reply*/,
                          time_point /*now*/)
    {
    }
    /// What is to be done now.
    virtual std::vector<allotment_action> run(time_point now) = 0;
    /// When run() may have something to do, if nothing happens before.
    virtual time_point next_due() const { return never; }
};

} // namespace mulberry

#endif
