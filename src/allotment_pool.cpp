#include "allotment_pool.hpp"

#include <algorithm>
#include <limits>

namespace mulberry
{
namespace
{

/// Longest retry delay given to a caller; a caller that would have to wait
/// longer is not expected to retry.
constexpr std::chrono::seconds max_retry_delay{5};
/// With a smaller total share, VMs are still about to delegate their shares to
/// this pool, or delegate them to another one.
constexpr double min_settled_share = 0.2;
constexpr std::chrono::milliseconds unsettled_retry{100};
/// How long a VM that asked for units, and a pool's refusal, count.
constexpr std::chrono::milliseconds contention_lifetime{500};

/// At most max_retry_delay, which a small rate would exceed by far.
duration retry_delay_for(double units, double per_second)
{
    return std::chrono::ceil<duration>(
        std::min(std::chrono::duration<double>(units / per_second),
                 std::chrono::duration<double>(max_retry_delay)));
}

} // namespace

void allotment_pool::set_allotments(
    std::map<allotment_id, allotment> const& teams, time_point now)
{
    std::erase_if(teams_, [&teams](auto const& each)
                  { return teams.count(each.first) == 0; });
    for (auto const& [name, limit] : teams)
    {
        team_pool& pool = teams_[name];
        pool.limit = limit;
        update_rate(pool, now);
    }
}

allotment_reply allotment_pool::answer(allotment_query const& query,
                                       time_point now)
{
    allotment_reply reply;
    for (allotment_need const& each : query.teams)
    {
        auto const found = teams_.find(each.team);
        if (found == teams_.end())
            continue;
        team_pool& pool = found->second;
        refill(pool, now);
        if (each.share > 0)
        {
            pool.shares[query.from] = {each.share, now + query.delegated_for};
            update_rate(pool, now);
        }
        if (each.min_units > 0 && even_wait_)
            record_asker(pool, query.from, now);
        if (each.min_units > 0)
            reply.push_back(allot(pool, each, now));
    }
    return reply;
}

void allotment_pool::update_rate(team_pool& pool, time_point now) const
{
    std::erase_if(pool.shares,
                  [now](auto const& each) { return each.second.until <= now; });
    double sum = 0;
    pool.next_expiry = never;
    for (auto const& [vm, left] : pool.shares)
    {
        sum += left.share;
        pool.next_expiry = std::min(pool.next_expiry, left.until);
    }
    // VMs that disagree on the number of members may delegate more than the
    // whole allotment.
    pool.total_share = std::min(sum, 1.0);
    double const max_saved =
        pool.limit.burst + pool.limit.per_second *
                               std::chrono::duration<double>(headroom_).count();
    pool.bucket.set_rate(pool.limit.per_second * pool.total_share,
                         max_saved * pool.total_share, now);
}

void allotment_pool::refill(team_pool& pool, time_point now) const
{
    while (pool.next_expiry <= now)
    {
        // A share counts in full until its expiry.
        pool.bucket.level(pool.next_expiry);
        update_rate(pool, pool.next_expiry);
    }
}

void allotment_pool::record_asker(team_pool& pool, vm_id const& vm,
                                  time_point now)
{
    std::erase_if(pool.asked_at, [now](auto const& each)
                  { return each.second + contention_lifetime <= now; });
    pool.asked_at[vm] = now;
}

/// Otherwise the VM that asks first reserves all units that come in within the
/// wait, and the other VMs are refused.
double allotment_pool::part_of(team_pool& pool, time_point now) const
{
    if (!even_wait_ || now >= pool.short_until)
        return std::numeric_limits<double>::max();
    return pool.bucket.max_reservable(max_wait(), now) /
           double(std::max<std::size_t>(pool.asked_at.size(), 1));
}

allotted_units allotment_pool::allot(team_pool& pool,
                                     allotment_need const& query,
                                     time_point now) const
{
    allotted_units allotted{query.team, 0, {}, {}};
    token_bucket& bucket = pool.bucket;
    double const level = bucket.level(now);
    double const part = part_of(pool, now);
    double const units =
        std::max(query.min_units, std::min({query.max_units, level, part}));
    if (bucket.try_take(units, now))
    {
        allotted.units = units;
        return allotted;
    }
    // Reserves units for all requests that wait at the VM; otherwise each of
    // them would wait for a query of its own.
    double const ahead =
        std::max(query.min_units,
                 std::min({query.max_units,
                           bucket.max_reservable(max_wait(), now), part}));
    if (auto const wait = bucket.reserve(ahead, max_wait(), now))
    {
        allotted.units = ahead;
        allotted.available_in = *wait;
        return allotted;
    }
    if (pool.total_share < min_settled_share)
    {
        allotted.available_in = unsettled_retry;
        allotted.retry_in = unsettled_retry;
        return allotted;
    }
    pool.short_until = now + duration(contention_lifetime);
    allotted.available_in = std::min<duration>(
        bucket.time_until_available(query.min_units, now), max_retry_delay);
    pool.queue_ends_at = std::max(pool.queue_ends_at, now) +
                         retry_delay_for(query.min_units, bucket.per_second());
    pool.queue_ends_at =
        std::min<time_point>(pool.queue_ends_at, now + max_retry_delay);
    allotted.retry_in =
        std::max(allotted.available_in, pool.queue_ends_at - now);
    return allotted;
}

} // namespace mulberry
