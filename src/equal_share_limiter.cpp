#include "equal_share_limiter.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{

void equal_share_limiter::set_allotments(
    std::map<allotment_id, allotment> const& teams, time_point now)
{
    limits_ = teams;
    std::erase_if(buckets_, [this](auto const& each)
                  { return limits_.count(each.first) == 0; });
    update_rates(now);
}

void equal_share_limiter::set_members(allotment_members members, time_point now)
{
    count_ = std::max<std::size_t>(members.count, 1);
    update_rates(now);
}

void equal_share_limiter::update_rates(time_point now)
{
    double const headroom =
        std::chrono::duration<double>(terms_.window).count() *
        terms_.overshoot_ratio;
    for (auto const& [name, limit] : limits_)
        buckets_[name].set_rate(
            limit.per_second / double(count_),
            (limit.burst + limit.per_second * headroom) / double(count_), now);
}

void equal_share_limiter::request(unit_request const& asked, time_point now)
{
    auto const found = buckets_.find(asked.team);
    if (found == buckets_.end() || found->second.try_take(asked.units, now))
    {
        decisions_.emplace_back(allotment_decision{asked.ticket, std::nullopt});
        return;
    }
    decisions_.emplace_back(allotment_decision{
        asked.ticket,
        error(error_kind::over_allotment,
              "this VM's share of the team's allotment is used up", ran::no,
              found->second.time_until_available(asked.units, now))});
}

void equal_share_limiter::give_back(allotment_id const& team, double units,
                                    time_point now)
{
    if (auto const found = buckets_.find(team); found != buckets_.end())
        found->second.refund(units, now);
}

std::vector<allotment_action> equal_share_limiter::run(time_point /*now*/)
{
    return std::exchange(decisions_, {});
}

} // namespace mulberry
