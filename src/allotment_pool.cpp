#include "allotment_pool.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// What a caller is told to wait at the most; who asks for more than that is
/// not expected back.
constexpr std::chrono::seconds longest_come_back{5};
/// With less of an allotment than this, VMs are still leaving their parts here,
/// or leave them elsewhere.
constexpr double settled_share = 0.2;
constexpr std::chrono::milliseconds unsettled_retry{100};

duration seconds_for(double units, double per_second)
{
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(units / per_second));
}

} // namespace

void allotment_pool::set_teams(std::map<team_id, allotment> const& teams,
                               time_point now)
{
    std::erase_if(teams_, [&teams](auto const& each)
                  { return teams.count(each.first) == 0; });
    for (auto const& [name, limit] : teams)
    {
        team_pool& pool = teams_[name];
        pool.limit = limit;
        renew(pool, now);
    }
}

allotment_reply allotment_pool::answer(allotment_question const& question,
                                       time_point now)
{
    allotment_reply reply;
    for (team_question const& each : question.teams)
    {
        auto const found = teams_.find(each.team);
        if (found == teams_.end())
            continue;
        team_pool& pool = found->second;
        refill(pool, now);
        if (each.part > 0)
        {
            pool.parts[question.from] = {each.part, now + question.left_for};
            renew(pool, now);
        }
        if (each.least > 0)
            reply.push_back(give(pool, each, now));
    }
    return reply;
}

/// Parts that ended bring nothing in from then on.
void allotment_pool::renew(team_pool& pool, time_point now) const
{
    std::erase_if(pool.parts,
                  [now](auto const& each) { return each.second.until <= now; });
    double sum = 0;
    pool.next_end = never;
    for (auto const& [vm, left] : pool.parts)
    {
        sum += left.part;
        pool.next_end = std::min(pool.next_end, left.until);
    }
    // VMs that do not agree on how many there are leave too much together.
    pool.share = std::min(sum, 1.0);
    double const most =
        pool.limit.burst + pool.limit.per_second *
                               std::chrono::duration<double>(headroom_).count();
    pool.bucket.set_rate(pool.limit.per_second * pool.share, most * pool.share,
                         now);
}

void allotment_pool::refill(team_pool& pool, time_point now) const
{
    while (pool.next_end <= now)
    {
        // Up to its end a part counts in full.
        pool.bucket.level(pool.next_end);
        renew(pool, pool.next_end);
    }
}

team_given allotment_pool::give(team_pool& pool, team_question const& question,
                                time_point now)
{
    team_given given{question.team, 0, {}, {}};
    token_bucket& bucket = pool.bucket;
    double const level = bucket.level(now);
    double const units =
        std::max(question.least, std::min(question.most, level));
    if (bucket.take(units, now))
    {
        given.units = units;
        return given;
    }
    // For all who wait there: one by one they would wait for a question each.
    double const ahead = std::max(
        question.least,
        std::min(question.most, bucket.within(longest_unit_wait, now)));
    if (auto const wait = bucket.take_ahead(ahead, longest_unit_wait, now))
    {
        given.units = ahead;
        given.fits_in = *wait;
        return given;
    }
    if (pool.share < settled_share)
    {
        given.fits_in = unsettled_retry;
        given.come_back_in = unsettled_retry;
        return given;
    }
    given.fits_in = std::min<duration>(bucket.until_fits(question.least, now),
                                       longest_come_back);
    pool.promised_until = std::max(pool.promised_until, now) +
                          seconds_for(question.least, bucket.per_second());
    pool.promised_until =
        std::min<time_point>(pool.promised_until, now + longest_come_back);
    given.come_back_in = std::max(given.fits_in, pool.promised_until - now);
    return given;
}

} // namespace mulberry
