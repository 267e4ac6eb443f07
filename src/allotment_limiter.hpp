/// Decides whether a request fits into an allotment that all VMs share: that of
/// a team, or the limit of a worker.
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

/// How far use may exceed an allotment. "Team" in this file is whatever has the
/// allotment, a team or a worker. Value.
struct allotment_terms
{
    /// In every window of this length the units of a team's requests on all VMs
    /// stay within its rate times the window plus its burst, plus the overshoot
    /// below.
    duration window = std::chrono::seconds(8);
    /// Allowed overshoot as a fraction of rate times window.
    double overshoot_ratio = 0.1;
    /// Further allowed overshoot in units, for single requests larger than the
    /// burst.
    double overshoot_units = 0;
    /// A request waits rather than being refused if its units come in within
    /// this time.
    duration max_unit_wait = std::chrono::milliseconds(200);
    friend bool operator==(allotment_terms const&,
                           allotment_terms const&) = default;
};

/// The VMs that share the allotments. Value.
struct allotment_members
{
    /// VMs that may keep a pool.
    std::vector<ranked_vm> candidates;
    /// Number of all VMs.
    std::size_t count = 1;
    /// Whether this VM is a member.
    bool joined = false;
    /// Whether no process ran under this VM's name before. Other VMs may then
    /// not count it yet.
    bool first_incarnation = false;
    friend bool operator==(allotment_members const&,
                           allotment_members const&) = default;
};

/// What a VM asks a pool for one team. Value.
struct allotment_need
{
    allotment_id team;
    /// Fraction of the team's allotment that the VM delegates to the pool from
    /// now on; 0: no change.
    double share = 0;
    /// Minimum number of units that the VM needs; 0: none.
    double min_units = 0;
    /// Maximum number of units that the VM can use.
    double max_units = 0;
    friend bool operator==(allotment_need const&,
                           allotment_need const&) = default;
};

struct allotment_query
{
    vm_id from;
    /// How long the shares are delegated to the pool.
    duration delegated_for{};
    std::vector<allotment_need> teams;
    friend bool operator==(allotment_query const&,
                           allotment_query const&) = default;
};

/// Units of one team that a pool gives to a VM, or a refusal if `units` is 0.
/// Value.
struct allotted_units
{
    allotment_id team;
    double units = 0;
    /// With units: after how long the units may be used. Refusal: after how
    /// long `min_units` would be available.
    duration available_in{};
    /// Refusal only: after how long `min_units` would be available if all
    /// callers that were refused before retry first.
    duration retry_in{};
    friend bool operator==(allotted_units const&,
                           allotted_units const&) = default;
};

using allotment_reply = std::vector<allotted_units>;

/// A request that needs units of a team. Value.
struct unit_request
{
    ticket_id ticket;
    allotment_id team;
    double units = 0;
    /// When the caller gives up.
    time_point give_up_at{};
    /// A later answer has little worth to the caller; `never` if unknown. It is
    /// past for a caller that was refused before and has returned.
    time_point objective_at = never;
    friend bool operator==(unit_request const&, unit_request const&) = default;
};

/// Send `query` to the pool of another VM or of this one and pass the reply to
/// on_reply().
struct query_pool
{
    vm_id pool;
    std::uint64_t number = 0;
    allotment_query query;
};

/// Whether a request fits into its team's allotment.
struct allotment_decision
{
    ticket_id ticket;
    std::optional<error> refused;
    /// If refused: when the units are available unless others take them first.
    /// Callers are told a later time, so that those refused before can return
    /// first. `never` if unknown.
    time_point available_at = never;
};

/// Counters since the start of the process. Value.
struct allotment_counts
{
    /// Refused on arrival, since units were not expected in time.
    std::uint64_t refused_early = 0;
    /// Refused after a pool refused the units.
    std::uint64_t refused_by_pool = 0;
    /// Refused since no pool had answered in time.
    std::uint64_t unanswered = 0;
    /// Queries to a second pool while the first was silent.
    std::uint64_t second_queries = 0;
    friend bool operator==(allotment_counts const&,
                           allotment_counts const&) = default;
};

using allotment_action = std::variant<query_pool, allotment_decision>;

/// Implementations that never let requests wait and never query pools need not
/// override the methods that have a default. Thread safety: none. No I/O, no
/// clock.
class allotment_limiter
{
public:
    virtual ~allotment_limiter() = default;

    /// Sets the allotments of all teams that have one; requests of other teams
    /// always fit.
    virtual void set_allotments(std::map<allotment_id, allotment> const& teams,
                                time_point now) = 0;
    virtual void set_members(allotment_members members, time_point now) = 0;
    /// With `max_wait`: requests wait no longer than that for units, and those
    /// whose units are not expected by then are refused at once. Without:
    /// requests wait as allotment_terms say.
    virtual void refuse_early(std::optional<duration> /*max_wait*/) {}
    virtual allotment_counts counts() const { return {}; }
    /// Requests a decision. run() returns exactly one allotment_decision for
    /// the ticket, at `give_up_at` at the latest, unless the request is
    /// withdrawn. Precondition: the ticket is new.
    virtual void request(unit_request const& asked, time_point now) = 0;
    /// The request is cancelled; no decision follows.
    virtual void withdraw(ticket_id /*ticket*/) {}
    /// Returns the units of a request that was admitted but did not run.
    virtual void give_back(allotment_id const& team, double units,
                           time_point now) = 0;
    /// Answers a query of another VM, or of this VM, to this VM's pool.
    virtual allotment_reply answer(allotment_query const& /*query*/,
                                   time_point /*now*/)
    {
        return {};
    }
    /// Reply to the query_pool action `number`; nullopt if the pool did not
    /// answer.
    virtual void on_reply(std::uint64_t /*number*/,
                          std::optional<allotment_reply> const& /*reply*/,
                          time_point /*now*/)
    {
    }
    /// Returns the actions that are due. To be called after each event and at
    /// next_due().
    virtual std::vector<allotment_action> run(time_point now) = 0;
    /// When run() is to be called next if no event occurs before; `never` if
    /// there is nothing to wait for.
    virtual time_point next_due() const { return never; }
};

} // namespace mulberry

#endif
