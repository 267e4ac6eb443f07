/// Orders the queued requests of a service's teams by start-time fair queueing.
#ifndef MULBERRY_FAIR_QUEUE_HPP
#define MULBERRY_FAIR_QUEUE_HPP

#include "ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace mulberry
{

/// Load it answers: 16 teams, of which two send 5 times their usual, spread
/// unevenly over VMs, together 1.5 times what the workers can start. In the
/// order of arrival, the two would take the places of the others.
///
/// Each request gets a virtual start time, its tag, and the queue is served in
/// the order of tags. A team's tags advance by the cost of its requests divided
/// by its weight; a team that was idle begins at the queue's virtual time, so
/// it has no credit from before. Virtual times are costs per unit of weight.
/// start_tag() and on_dropped() take logarithmic time in the number of teams
/// that have requests. Thread safety: none. No I/O, no clock.
class fair_queue
{
public:
    /// Cost of a request, in tokens of a prompt; 0 if nothing is known of it.
    static double cost(std::uint32_t prompt_tokens,
                       std::uint32_t answer_tokens);

    /// Returns the virtual start time of a request that joins the queue.
    /// `weight`: the share that the team has a right to, in proportion to those
    /// of other teams. `cost`: see cost(); a request of unknown cost (0) counts
    /// as one of mean cost. Precondition: `weight` > 0.
    double start_tag(team_id const& team, double weight, double cost);
    /// Virtual finish time of the team's last request, so after start_tag() of
    /// that request; the virtual time if the team has nothing ahead of it.
    double last_finish(team_id const& team) const;
    /// The request with this tag starts. Virtual time does not go back: a
    /// request may start after one with a later tag, if it waited for an
    /// adapter.
    void on_begun(double tag);
    /// A request leaves the queue and will not start: its team is charged only
    /// for what virtual time has passed of it. `tag`, `finish`: the results of
    /// start_tag() and last_finish() when it joined.
    void on_dropped(team_id const& team, double tag, double finish);

    double virtual_time() const { return virtual_time_; }
    /// Teams whose last finish is ahead of virtual time.
    std::size_t teams() const { return finishes_.size(); }

private:
    void set_finish(team_id const& team, double finish);
    void forget_passed();
    /// Returns the cost that the request counts with.
    double charged_cost(double cost);

    double virtual_time_ = 0;
    /// Moving average; 0 before the first request of known cost.
    double mean_cost_ = 0;
    /// Virtual finish time of each team's last request. Teams whose finish is
    /// not ahead of virtual time are absent.
    std::map<team_id, double> finishes_;
    std::set<std::pair<double, team_id>> by_finish_;
};

} // namespace mulberry

#endif
