#include "pooled_limiter.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// How often delegations are renewed, and for how long: a delegation outlasts
/// the loss of one message.
constexpr milliseconds delegation_interval{500};
constexpr milliseconds delegation_span{1000};
/// A pool may use a share for this long beyond its expiry at this VM, because
/// of the time its message was in transit.
constexpr milliseconds max_message_delay{300};
/// By then the other VMs count a VM that joined.
constexpr milliseconds join_delay{3000};
/// Longest time that a request waits for units.
constexpr milliseconds max_request_wait{600};
/// How long a pool that did not answer is not queried.
constexpr milliseconds unresponsive_retry{1000};
/// One more VM keeps pools for every this many VMs.
constexpr std::size_t vms_per_pool = 64;
/// Units are requested in advance for this time at the recent rate of use.
constexpr std::chrono::duration<double> prefetch_span{0.25};
/// Time constant of the average of recent use.
constexpr std::chrono::duration<double> use_time_constant{1.0};
/// How the allowed overshoot (allotment_terms::overshoot_ratio) is split:
/// between units that VMs hold for use, and units saved up in pools.
constexpr double usable_overshoot_share = 0.75;
constexpr double saved_overshoot_share = 0.25;
constexpr milliseconds unknown_retry{500};
/// A pool answers from memory within a few milliseconds; one that takes this
/// long may be out of reach.
constexpr milliseconds max_silence{60};
/// A pool that answered so recently is in reach: what is not available from it
/// is used up.
constexpr milliseconds answer_lifetime{500};
/// Least time between queries for units that a pool has just refused.
constexpr milliseconds min_shortage{10};

duration overshoot_span(allotment_terms const& terms, double share)
{
    return std::chrono::duration_cast<duration>(terms.window *
                                                terms.overshoot_ratio * share);
}

error unknown_allotment(char const* text)
{
    return {error_kind::allotment_unknown, text, ran::no, unknown_retry};
}

error exceeded_allotment(duration retry_in)
{
    return {error_kind::over_allotment, "the team's allotment is used up",
            ran::no, std::max<duration>(retry_in, milliseconds(1))};
}

} // namespace

pooled_limiter::pooled_limiter(vm_id self, allotment_terms terms)
    : self_(std::move(self)),
      unit_lifetime_(overshoot_span(terms, usable_overshoot_share)),
      headroom_(overshoot_span(terms, saved_overshoot_share)),
      max_debt_per_pool_(terms.overshoot_units / double(pools_per_team)),
      max_unit_wait_(terms.max_unit_wait), pool_(headroom_, max_unit_wait_)
{
}

void pooled_limiter::set_allotments(
    std::map<allotment_id, allotment> const& teams, time_point now)
{
    pool_.set_allotments(teams, now);
    limits_ = teams;
    for (auto& [name, state] : teams_)
        if (limits_.count(name) == 0)
            settle_waiting(name, now);
    std::erase_if(teams_, [this](auto const& each)
                  { return limits_.count(each.first) == 0; });
    for (auto const& [name, limit] : limits_)
        teams_.try_emplace(name);
    if (!teams_.empty() && delegate_at_ == never)
        delegate_at_ = now;
    if (teams_.empty())
        delegate_at_ = never;
}

void pooled_limiter::set_members(allotment_members members, time_point now)
{
    bool const joins = members.joined && !members_.joined;
    if (joins)
        shares_valid_from_ =
            members.first_incarnation ? now + duration(join_delay) : now;
    if (!members.joined)
        shares_valid_from_ = never;
    members_ = std::move(members);
    choose_pools();
    if (joins && delegate_at_ != never)
        delegate_at_ =
            std::min(delegate_at_, std::max(now, shares_valid_from_));
    for (auto& [name, state] : teams_)
        if (!state.waiting.empty())
            state.review_at = now;
}

void pooled_limiter::refuse_early(std::optional<duration> max_wait)
{
    early_wait_ = max_wait;
    if (!max_wait)
        for (auto& [name, state] : teams_)
            state.second_query_at = never;
    // A request has waited for its turn and for the pool's reply by the time
    // that its units are reserved.
    pool_.divide_evenly(max_wait ? std::optional(*max_wait / 2) : max_wait);
}

void pooled_limiter::choose_pools()
{
    pools_ = by_rank(members_.candidates);
    std::erase_if(next_probe_at_,
                  [this](auto const& each)
                  {
                      return std::find(pools_.begin(), pools_.end(),
                                       each.first) == pools_.end();
                  });
}

bool pooled_limiter::query_suspended(vm_id const& pool, time_point now) const
{
    auto const found = next_probe_at_.find(pool);
    return found != next_probe_at_.end() && now < found->second;
}

std::vector<vm_id> pooled_limiter::pools_of(allotment_id const& team) const
{
    std::size_t const candidate_count =
        pools_per_team + 1 + members_.count / vms_per_pool;
    std::vector<vm_id> pools;
    for (bool const unresponsive : {false, true})
        for (vm_id const& each : pools_)
            if (is_unresponsive(each) == unresponsive &&
                pools.size() < candidate_count)
                pools.push_back(each);
    auto const order = [&](vm_id const& pool)
    {
        return std::pair(is_unresponsive(pool),
                         stable_hash(team.str() + "/" + pool.str()));
    };
    std::sort(pools.begin(), pools.end(),
              [&order](vm_id const& left, vm_id const& right)
              { return order(left) < order(right); });
    pools.resize(std::min(pools.size(), pools_per_team));
    return pools;
}

/// Includes the pools to which this VM's own shares are delegated, where most
/// other VMs' shares are too. Otherwise, when a pool comes back, it has no
/// units until the shares delegated to its substitute have expired.
std::vector<vm_id> pooled_limiter::pools_to_query(allotment_id const& team,
                                                  team_state const& state,
                                                  time_point now) const
{
    std::vector<vm_id> pools = pools_of(team);
    for (delegated_half const& left : state.halves)
        if (now < left.until &&
            std::find(pools.begin(), pools.end(), left.pool) == pools.end())
            pools.push_back(left.pool);
    std::erase_if(pools, [this, now](vm_id const& each)
                  { return query_suspended(each, now); });
    return pools;
}

/// A half that one pool may still use is not delegated to another pool.
void pooled_limiter::delegate_shares(time_point now)
{
    delegate_at_ = now + duration(delegation_interval);
    probe_unresponsive_pools(now);
    if (now < shares_valid_from_ || pools_.empty())
        return;
    double const half = 1.0 / double(pools_per_team) /
                        double(std::max<std::size_t>(members_.count, 1));
    std::map<vm_id, std::map<allotment_id, double>> shares;
    for (auto& [name, state] : teams_)
    {
        std::vector<vm_id> const pools = pools_of(name);
        for (std::size_t index = 0; index < pools_per_team; ++index)
        {
            delegated_half& left = state.halves.at(index);
            vm_id const& pool = pools.at(index % pools.size());
            if (left.pool != pool && now < left.until)
                continue;
            left = {pool, now + duration(delegation_span + max_message_delay)};
            shares[pool][name] += half;
        }
    }
    for (auto const& [pool, of_teams] : shares)
    {
        allotment_query query{self_, delegation_span, {}};
        for (auto const& [name, share] : of_teams)
            query.teams.push_back({name, share, 0, 0});
        send(pool, {pool, now, {}, 0}, std::move(query));
    }
}

void pooled_limiter::probe_unresponsive_pools(time_point now)
{
    for (auto& [pool, until] : next_probe_at_)
    {
        if (now < until)
            continue;
        until = now + duration(unresponsive_retry);
        send(pool, {pool, now, {}, 0}, {self_, {}, {}});
    }
}

void pooled_limiter::send(vm_id const& pool, open_query about,
                          allotment_query query)
{
    std::uint64_t const number = ++last_number_;
    open_queries_.emplace(number, std::move(about));
    actions_.emplace_back(query_pool{pool, number, std::move(query)});
}

void pooled_limiter::request(unit_request const& asked, time_point now)
{
    auto const found = teams_.find(asked.team);
    if (found == teams_.end())
    {
        actions_.emplace_back(allotment_decision{asked.ticket, std::nullopt});
        return;
    }
    team_state& state = found->second;
    duration const wait = early_wait_.value_or(max_request_wait);
    state.waiting.push_back({asked.ticket, asked.units,
                             std::min<time_point>(asked.give_up_at, now + wait),
                             asked.give_up_at, asked.objective_at});
    if (is_hopeless(state, now))
    {
        ++counts_.refused_early;
        waiting_request const newest = state.waiting.back();
        state.waiting.pop_back();
        return refuse(state, newest, never, now, now);
    }
    settle_waiting(asked.team, now);
}

void pooled_limiter::withdraw(ticket_id ticket)
{
    for (auto& [name, state] : teams_)
        std::erase_if(state.waiting, [ticket](waiting_request const& each)
                      { return each.ticket == ticket; });
}

void pooled_limiter::give_back(allotment_id const& team, double units,
                               time_point now)
{
    auto const found = teams_.find(team);
    if (found == teams_.end())
        return;
    found->second.usable.push_back({units, now, now + unit_lifetime_});
    settle_waiting(team, now);
}

double pooled_limiter::usable_sum(team_state& state, bool later_too,
                                  time_point now) const
{
    std::erase_if(state.usable, [now](usable_units const& each)
                  { return each.until <= now; });
    double sum = 0;
    for (usable_units const& each : state.usable)
        if (later_too || each.from <= now)
            sum += each.units;
    return sum;
}

bool pooled_limiter::try_use(team_state& state, double units,
                             time_point now) const
{
    if (usable_sum(state, false, now) < units)
        return false;
    for (usable_units& each : state.usable)
    {
        if (each.from > now)
            continue;
        double const taken = std::min(units, each.units);
        each.units -= taken;
        units -= taken;
    }
    return true;
}

void pooled_limiter::record_use(team_state& state, double units,
                                time_point now) const
{
    double const passed =
        std::chrono::duration<double>(now - state.use_as_of).count();
    state.use = state.use * std::exp(-passed / use_time_constant.count()) +
                units / use_time_constant.count();
    state.use_as_of = now;
}

/// Serves the waiting requests first in, first out. Requests of a team without
/// an allotment never wait.
void pooled_limiter::settle_waiting(allotment_id const& team, time_point now)
{
    team_state& state = teams_.at(team);
    bool const limited = limits_.count(team) > 0;
    while (!state.waiting.empty())
    {
        waiting_request const first = state.waiting.front();
        if (!limited || try_use(state, first.units, now))
        {
            record_use(state, first.units, now);
            actions_.emplace_back(
                allotment_decision{first.ticket, std::nullopt});
            state.waiting.pop_front();
        }
        else if (state.open_queries > 0)
            return schedule_second_query(team, state, now);
        else if (query_pools(team, state, now))
            return;
    }
}

bool pooled_limiter::is_hopeless(team_state& state, time_point now) const
{
    if (!early_wait_)
        return false;
    // While the team is refused units, those that there are go to requests
    // whose answers can still be in time.
    if (state.waiting.back().objective_at <= now &&
        state.forecast.was_short(now))
        return true;
    if (state.waiting.size() < 2 || !state.forecast.is_short(now))
        return false;
    double ahead = -usable_sum(state, true, now);
    for (waiting_request const& each : state.waiting)
        ahead += each.units;
    auto const expected = state.forecast.available_at(ahead, now);
    return ahead > 0 && expected && *expected > state.waiting.back().give_up_at;
}

bool pooled_limiter::exceeds_pool_capacity(allotment_id const& team,
                                           double units) const
{
    allotment const& limit = limits_.at(team);
    double const saved =
        limit.burst +
        limit.per_second * std::chrono::duration<double>(headroom_).count();
    return units > saved / double(pools_per_team) + max_debt_per_pool_;
}

bool pooled_limiter::known_short(team_state const& state, vm_id const& pool,
                                 double min_units, time_point now) const
{
    auto const found = state.shortages.find(pool);
    return found != state.shortages.end() && now < found->second.until &&
           min_units >= found->second.min_units;
}

/// Sends no further query if all pools are known to have too few units.
bool pooled_limiter::query_pools(allotment_id const& team, team_state& state,
                                 time_point now)
{
    state.review_at = never;
    // There is no pool to query until the members are known.
    if (pools_.empty())
        return true;
    double const min_units =
        state.waiting.front().units - usable_sum(state, true, now);
    if (min_units <= 0)
    {
        schedule_review(state, now);
        return true;
    }
    std::vector<vm_id> pools = pools_to_query(team, state, now);
    // A full pool gives a request more units than the pool can hold and goes
    // into debt; two such pools would be in debt for twice as much.
    if (exceeds_pool_capacity(team, min_units) && !pools.empty())
        pools.resize(1);
    time_point available_at = never;
    time_point retry_at = never;
    for (vm_id const& pool : pools)
    {
        if (!known_short(state, pool, min_units, now))
        {
            query_pool_for(pool, team, state, min_units, now);
            schedule_second_query(team, state, now);
            return true;
        }
        available_at = std::min(available_at, state.shortages[pool].until);
        retry_at = std::min(retry_at, state.shortages[pool].retry_at);
    }
    return wait_or_refuse(state, available_at, retry_at, now);
}

/// Schedules a review for when units that are not yet usable become usable.
void pooled_limiter::schedule_review(team_state& state, time_point now)
{
    for (usable_units const& each : state.usable)
        if (each.from > now)
            state.review_at = std::min(state.review_at, each.from);
}

void pooled_limiter::query_pool_for(vm_id const& pool, allotment_id const& team,
                                    team_state& state, double min_units,
                                    time_point now)
{
    double sum = -usable_sum(state, true, now);
    for (waiting_request const& each : state.waiting)
        sum += each.units;
    // Units for less than one request would expire unused, and so might units
    // that other VMs need now.
    double const beyond = early_wait_ && state.forecast.is_short(now)
                              ? 0
                              : state.use * prefetch_span.count();
    if (beyond > 0 && beyond >= state.waiting.front().units)
        sum += beyond;
    ++state.open_queries;
    state.second_query_at = never;
    allotment_query query{self_, {}, {}};
    query.teams.push_back({team, 0, min_units, sum});
    send(pool, {pool, now, team, min_units}, std::move(query));
}

duration pooled_limiter::second_query_delay() const
{
    return std::min<duration>(max_silence, *early_wait_ / 2);
}

void pooled_limiter::schedule_second_query(allotment_id const& team,
                                           team_state& state, time_point now)
{
    if (!early_wait_ || state.open_queries != 1 ||
        state.second_query_at != never)
        return;
    for (auto const& [number, query] : open_queries_)
        if (query.team == team)
            state.second_query_at =
                std::max(now, query.asked_at + second_query_delay());
}

void pooled_limiter::query_second_pool(allotment_id const& team,
                                       team_state& state, time_point now)
{
    state.second_query_at = never;
    if (state.open_queries != 1 || state.waiting.empty())
        return;
    double const min_units =
        state.waiting.front().units - usable_sum(state, true, now);
    if (min_units <= 0 || exceeds_pool_capacity(team, min_units))
        return;
    for (vm_id const& pool : pools_to_query(team, state, now))
    {
        bool const asked = std::any_of(
            open_queries_.begin(), open_queries_.end(),
            [&](auto const& each)
            { return each.second.pool == pool && each.second.team == team; });
        if (asked || known_short(state, pool, min_units, now))
            continue;
        ++counts_.second_queries;
        return query_pool_for(pool, team, state, min_units, now);
    }
}

/// A caller that cannot be served in time loses little by a later return, and
/// by then the load may have passed.
time_point pooled_limiter::return_time(waiting_request const& refused,
                                       time_point available_at, time_point now)
{
    if (available_at < refused.objective_at || refused.objective_at == never ||
        refused.caller_gives_up_at <= now)
        return available_at;
    duration const left = refused.caller_gives_up_at - now;
    return std::clamp<time_point>(available_at, now + left / 2,
                                  now + left * 3 / 4);
}

void pooled_limiter::refuse(team_state& state, waiting_request const& refused,
                            time_point available_at, time_point retry_at,
                            time_point now)
{
    if (early_wait_ && retry_at != never)
        retry_at = return_time(refused,
                               std::max(retry_at, state.forecast.reserve_return(
                                                      refused.units, now)),
                               now);
    actions_.emplace_back(allotment_decision{
        refused.ticket,
        retry_at == never ? unknown_allotment("no pool can be asked")
                          : exceeded_allotment(retry_at - now),
        available_at});
}

/// Handles the first waiting request when no pool has enough units: waits for
/// the units if they are available soon, otherwise refuses the request and
/// returns false. Later requests may need fewer units.
bool pooled_limiter::wait_or_refuse(team_state& state, time_point available_at,
                                    time_point retry_at, time_point now)
{
    waiting_request& front = state.waiting.front();
    time_point const until = early_wait_ ? available_at : retry_at;
    duration const max_wait = early_wait_.value_or(max_unit_wait_);
    if (early_wait_ && front.ask_again_at == never)
        front.ask_again_at = until;
    bool const final = early_wait_ && now >= front.ask_again_at;
    if (until <= now + max_wait && until < front.give_up_at && !final)
    {
        state.review_at = until;
        return true;
    }
    waiting_request const first = front;
    state.waiting.pop_front();
    if (retry_at != never)
    {
        state.forecast.on_short(retry_at, now);
        ++counts_.refused_by_pool;
    }
    refuse(state, first, available_at, retry_at, now);
    return false;
}

allotment_reply pooled_limiter::answer(allotment_query const& query,
                                       time_point now)
{
    return pool_.answer(query, now);
}

void pooled_limiter::on_reply(std::uint64_t number,
                              std::optional<allotment_reply> const& reply,
                              time_point now)
{
    auto const found = open_queries_.find(number);
    if (found == open_queries_.end())
        return;
    open_query const about = std::move(found->second);
    open_queries_.erase(found);
    if (!reply)
        next_probe_at_[about.pool] = now + duration(unresponsive_retry);
    else
        next_probe_at_.erase(about.pool);
    auto const asked = teams_.find(about.team);
    if (asked == teams_.end())
        return;
    team_state& state = asked->second;
    state.open_queries -= state.open_queries > 0;
    if (reply && !reply->empty())
        state.answered_at = now;
    if (state.open_queries == 0)
        state.second_query_at = never;
    if (reply && reply->empty())
        // The pool does not know the team, so its configuration differs.
        next_probe_at_[about.pool] = now + duration(unresponsive_retry);
    for (allotted_units const& allotted : reply.value_or(allotment_reply()))
    {
        if (allotted.team != about.team)
            continue;
        if (allotted.units > 0)
        {
            // The lifetime counts from the query, since the pool may have
            // allotted the units at any time since then.
            state.usable.push_back(
                {allotted.units, now + allotted.available_in,
                 about.asked_at + allotted.available_in + unit_lifetime_});
            state.shortages.erase(about.pool);
            state.forecast.on_units(allotted.units, now);
        }
        else
        {
            duration const wait = early_wait_.value_or(duration(0));
            state.shortages[about.pool] = {
                about.min_units,
                now + std::max<duration>(allotted.available_in - wait,
                                         early_wait_ ? min_shortage
                                                     : milliseconds(0)),
                now + allotted.retry_in};
        }
    }
    settle_waiting(about.team, now);
}

void pooled_limiter::expire_waiting(time_point now)
{
    for (auto& [name, state] : teams_)
    {
        auto const over = [now](waiting_request const& each)
        { return each.give_up_at <= now; };
        for (waiting_request const& each : state.waiting)
        {
            if (!over(each))
                continue;
            if (early_wait_ &&
                now < state.answered_at + duration(answer_lifetime))
            {
                ++counts_.refused_by_pool;
                refuse(state, each, never, now, now);
                continue;
            }
            ++counts_.unanswered;
            actions_.emplace_back(allotment_decision{
                each.ticket, unknown_allotment("the pool did not answer")});
        }
        std::erase_if(state.waiting, over);
    }
}

std::vector<allotment_action> pooled_limiter::run(time_point now)
{
    if (now >= delegate_at_)
        delegate_shares(now);
    for (auto& [name, state] : teams_)
        if (now >= state.second_query_at)
            query_second_pool(name, state, now);
    expire_waiting(now);
    for (auto& [name, state] : teams_)
    {
        if (now >= state.review_at)
        {
            state.review_at = never;
            settle_waiting(name, now);
        }
    }
    return std::exchange(actions_, {});
}

time_point pooled_limiter::next_due() const
{
    time_point next = delegate_at_;
    for (auto const& [name, state] : teams_)
    {
        next = std::min({next, state.review_at, state.second_query_at});
        for (waiting_request const& each : state.waiting)
            next = std::min(next, each.give_up_at);
    }
    return next;
}

} // namespace mulberry
