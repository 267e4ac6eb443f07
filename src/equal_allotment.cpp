#include "equal_allotment.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{

void equal_allotment::set_teams(std::map<team_id, allotment> const& teams,
                                time_point now)
{
    limits_ = teams;
    std::erase_if(buckets_, [this](auto const& each)
                  { return limits_.count(each.first) == 0; });
    renew(now);
}

void equal_allotment::set_members(allotment_members members, time_point now)
{
    count_ = std::max<std::size_t>(members.count, 1);
    renew(now);
}

void equal_allotment::renew(time_point now)
{
    double const headroom =
        std::chrono::duration<double>(terms_.window).count() * terms_.over;
    for (auto const& [name, limit] : limits_)
        buckets_[name].set_rate(
            limit.per_second / double(count_),
            (limit.burst + limit.per_second * headroom) / double(count_), now);
}

void equal_allotment::request(ticket_id ticket, team_id const& team,
                              double units, time_point /*give_up_at*/,
                              time_point now)
{
    auto const found = buckets_.find(team);
    if (found == buckets_.end() || found->second.take(units, now))
    {
        settled_.emplace_back(allotment_settled{ticket, std::nullopt});
        return;
    }
    settled_.emplace_back(allotment_settled{
        ticket, error(error_kind::over_allotment,
                      "this VM's part of the team's allotment is used up",
                      ran::no, found->second.until_fits(units, now))});
}

void equal_allotment::give_back(team_id const& team, double units,
                                time_point now)
{
    if (auto const found = buckets_.find(team); found != buckets_.end())
        found->second.put(units, now);
}

std::vector<allotment_action> equal_allotment::run(time_point /*now*/)
{
    return std::exchange(settled_, {});
}

} // namespace mulberry
