/// Divides what must be refused among the teams that ask for more than their
/// fair share.
#ifndef MULBERRY_FAIR_SHARES_HPP
#define MULBERRY_FAIR_SHARES_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>

namespace mulberry
{

/// Load it answers: one or two of many teams send several times their usual to
/// a service that has too little room. Refusing the same share of all requests
/// would let them take the room of the others.
///
/// Weighted max-min fairness over the recent rates of this VM's requests: no
/// team below its fair share is refused, and the others keep rates in
/// proportion to their weights. Thread safety: none. No I/O, no clock.
class fair_shares
{
public:
    /// A request of the team arrives. `weight` > 0: the share that the team has
    /// a right to, in proportion to those of other teams.
    void on_request(team_id const& team, double weight, time_point now);
    /// Sets the share of all requests that is to be refused, 0 to 1. To be
    /// called now and then, since the teams' rates change.
    void set_refused(double share, time_point now);
    /// The share of the team's requests to refuse, as of the last
    /// set_refused(); 0 for a team that had sent nothing lately.
    double refused_share(team_id const& team) const;
    std::size_t teams() const { return rates_.size(); }

private:
    struct team_rate
    {
        double weight = 1;
        /// Moving average in requests a second, as of `as_of`.
        double per_second = 0;
        time_point as_of{};
        double refused = 0;
        double at(time_point now) const;
    };

    /// The rate for each unit of weight above which requests are refused.
    double fair_level(double refused, time_point now) const;

    std::map<team_id, team_rate> rates_;
};

} // namespace mulberry

#endif
