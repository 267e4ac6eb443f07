#include "pooled_allotment.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// How often parts are left to pools anew, and for how long each time: one
/// message may be lost.
constexpr milliseconds leave_interval{500};
constexpr milliseconds leave_span{1000};
/// A part may be in use so long beyond its end, for the time that its message
/// was on its way.
constexpr milliseconds message_time{300};
/// A VM that joins is counted by the others by then.
constexpr milliseconds join_wait{3000};
/// A request waits so long for units at the most.
constexpr milliseconds longest_wait{600};
/// A pool that did not answer is not asked for so long.
constexpr milliseconds avoid_span{1000};
/// VMs for each VM that keeps pools.
constexpr std::size_t vms_per_pool = 64;
/// Units are asked for ahead of requests for so much of the recent use.
constexpr std::chrono::duration<double> ahead{0.25};
/// The time over which recent use is told.
constexpr std::chrono::duration<double> use_memory{1.0};
/// Of what a team may use over its allotment: for units in hand, and for saving
/// up in pools. See allotment_terms::over.
constexpr double in_hand_share = 0.75;
constexpr double saved_share = 0.25;
constexpr milliseconds unknown_retry{500};

duration over_span(allotment_terms const& terms, double share)
{
    return std::chrono::duration_cast<duration>(terms.window * terms.over *
                                                share);
}

error unknown_left(char const* text)
{
    return {error_kind::allotment_unknown, text, ran::no, unknown_retry};
}

error used_up(duration come_back_in)
{
    return {error_kind::over_allotment, "the team's allotment is used up",
            ran::no, std::max<duration>(come_back_in, milliseconds(1))};
}

} // namespace

pooled_allotment::pooled_allotment(vm_id self, allotment_terms terms)
    : self_(std::move(self)), unit_life_(over_span(terms, in_hand_share)),
      headroom_(over_span(terms, saved_share)),
      may_owe_(terms.slack / double(pools_per_team)), pool_(headroom_)
{
}

void pooled_allotment::set_teams(std::map<team_id, allotment> const& teams,
                                 time_point now)
{
    pool_.set_teams(teams, now);
    limits_ = teams;
    for (auto& [name, state] : teams_)
        if (limits_.count(name) == 0)
            settle(name, now);
    std::erase_if(teams_, [this](auto const& each)
                  { return limits_.count(each.first) == 0; });
    for (auto const& [name, limit] : limits_)
        teams_.try_emplace(name);
    if (!teams_.empty() && leave_at_ == never)
        leave_at_ = now;
    if (teams_.empty())
        leave_at_ = never;
}

void pooled_allotment::set_members(allotment_members members, time_point now)
{
    bool const joins = members.joined && !members_.joined;
    if (joins)
        parts_from_ = members.first_life ? now + duration(join_wait) : now;
    if (!members.joined)
        parts_from_ = never;
    members_ = std::move(members);
    choose_pools();
    if (joins && leave_at_ != never)
        leave_at_ = std::min(leave_at_, std::max(now, parts_from_));
    for (auto& [name, state] : teams_)
        if (!state.waiting.empty())
            state.review_at = now;
}

void pooled_allotment::choose_pools()
{
    pools_ = by_rank(members_.candidates);
    std::erase_if(avoid_until_,
                  [this](auto const& each)
                  {
                      return std::find(pools_.begin(), pools_.end(),
                                       each.first) == pools_.end();
                  });
}

bool pooled_allotment::avoided(vm_id const& pool, time_point now) const
{
    auto const found = avoid_until_.find(pool);
    return found != avoid_until_.end() && now < found->second;
}

/// The VMs that keep pools for a team, the same on all VMs that see the same
/// ones. One that does not answer gives way to the next by rank.
std::vector<vm_id> pooled_allotment::pools_of(team_id const& team) const
{
    std::size_t const wanted =
        pools_per_team + 1 + members_.count / vms_per_pool;
    std::vector<vm_id> pools;
    for (bool const suspects : {false, true})
        for (vm_id const& each : pools_)
            if (suspect(each) == suspects && pools.size() < wanted)
                pools.push_back(each);
    auto const order = [&](vm_id const& pool)
    {
        return std::pair(suspect(pool),
                         stable_hash(team.str() + "/" + pool.str()));
    };
    std::sort(pools.begin(), pools.end(),
              [&order](vm_id const& left, vm_id const& right)
              { return order(left) < order(right); });
    pools.resize(std::min(pools.size(), pools_per_team));
    return pools;
}

/// Failure: a pool comes back, and for as long as the parts left to its
/// substitute last it has nothing to give. So where this VM's own parts are is
/// asked too: most others' are there.
std::vector<vm_id> pooled_allotment::pools_to_ask(team_id const& team,
                                                  team_state const& state,
                                                  time_point now) const
{
    std::vector<vm_id> pools = pools_of(team);
    for (left_half const& left : state.halves)
        if (now < left.until &&
            std::find(pools.begin(), pools.end(), left.pool) == pools.end())
            pools.push_back(left.pool);
    std::erase_if(pools, [this, now](vm_id const& each)
                  { return avoided(each, now); });
    return pools;
}

/// A half that may be in use at one pool is not left to another.
void pooled_allotment::leave_parts(time_point now)
{
    leave_at_ = now + duration(leave_interval);
    try_suspects(now);
    if (now < parts_from_ || pools_.empty())
        return;
    double const half = 1.0 / double(pools_per_team) /
                        double(std::max<std::size_t>(members_.count, 1));
    std::map<vm_id, std::map<team_id, double>> parts;
    for (auto& [name, state] : teams_)
    {
        std::vector<vm_id> const pools = pools_of(name);
        for (std::size_t index = 0; index < pools_per_team; ++index)
        {
            left_half& left = state.halves.at(index);
            vm_id const& pool = pools.at(index % pools.size());
            if (left.pool != pool && now < left.until)
                continue;
            left = {pool, now + duration(leave_span + message_time)};
            parts[pool][name] += half;
        }
    }
    for (auto const& [pool, of_teams] : parts)
    {
        allotment_question question{self_, leave_span, {}};
        for (auto const& [name, part] : of_teams)
            question.teams.push_back({name, part, 0, 0});
        send(pool, {pool, now, {}, 0}, std::move(question));
    }
}

/// Those that answer are used again.
void pooled_allotment::try_suspects(time_point now)
{
    for (auto& [pool, until] : avoid_until_)
    {
        if (now < until)
            continue;
        until = now + duration(avoid_span);
        send(pool, {pool, now, {}, 0}, {self_, {}, {}});
    }
}

void pooled_allotment::send(vm_id const& pool, open_question about,
                            allotment_question question)
{
    std::uint64_t const number = ++last_number_;
    open_.emplace(number, std::move(about));
    actions_.emplace_back(ask_pool{pool, number, std::move(question)});
}

void pooled_allotment::request(ticket_id ticket, team_id const& team,
                               double units, time_point give_up_at,
                               time_point now)
{
    auto const found = teams_.find(team);
    if (found == teams_.end())
    {
        actions_.emplace_back(allotment_settled{ticket, std::nullopt});
        return;
    }
    found->second.waiting.push_back(
        {ticket, units, std::min<time_point>(give_up_at, now + longest_wait)});
    settle(team, now);
}

void pooled_allotment::withdraw(ticket_id ticket)
{
    for (auto& [name, state] : teams_)
        std::erase_if(state.waiting, [ticket](waiting_request const& each)
                      { return each.ticket == ticket; });
}

void pooled_allotment::give_back(team_id const& team, double units,
                                 time_point now)
{
    auto const found = teams_.find(team);
    if (found == teams_.end())
        return;
    found->second.in_hand.push_back({units, now, now + unit_life_});
    settle(team, now);
}

double pooled_allotment::in_hand(team_state& state, bool later_too,
                                 time_point now) const
{
    std::erase_if(state.in_hand, [now](units_in_hand const& each)
                  { return each.until <= now; });
    double sum = 0;
    for (units_in_hand const& each : state.in_hand)
        if (later_too || each.from <= now)
            sum += each.units;
    return sum;
}

bool pooled_allotment::take_in_hand(team_state& state, double units,
                                    time_point now) const
{
    if (in_hand(state, false, now) < units)
        return false;
    for (units_in_hand& each : state.in_hand)
    {
        if (each.from > now)
            continue;
        double const taken = std::min(units, each.units);
        each.units -= taken;
        units -= taken;
    }
    return true;
}

void pooled_allotment::note_use(team_state& state, double units,
                                time_point now) const
{
    double const passed =
        std::chrono::duration<double>(now - state.use_as_of).count();
    state.use = state.use * std::exp(-passed / use_memory.count()) +
                units / use_memory.count();
    state.use_as_of = now;
}

/// Those that wait longest first. A team without a limit keeps nobody waiting.
void pooled_allotment::settle(team_id const& team, time_point now)
{
    team_state& state = teams_.at(team);
    bool const limited = limits_.count(team) > 0;
    while (!state.waiting.empty())
    {
        waiting_request const first = state.waiting.front();
        if (!limited || take_in_hand(state, first.units, now))
        {
            note_use(state, first.units, now);
            actions_.emplace_back(
                allotment_settled{first.ticket, std::nullopt});
            state.waiting.pop_front();
        }
        else if (state.asking || pursue(team, state, now))
            return;
    }
}

bool pooled_allotment::oversized(team_id const& team, double units) const
{
    allotment const& limit = limits_.at(team);
    double const saved =
        limit.burst +
        limit.per_second * std::chrono::duration<double>(headroom_).count();
    return units > saved / double(pools_per_team) + may_owe_;
}

bool pooled_allotment::lacks(team_state const& state, vm_id const& pool,
                             double least, time_point now) const
{
    auto const found = state.shortages.find(pool);
    return found != state.shortages.end() && now < found->second.until &&
           least >= found->second.least;
}

/// What no pool has is refused at once, without another question.
bool pooled_allotment::pursue(team_id const& team, team_state& state,
                              time_point now)
{
    state.review_at = never;
    // Until the VMs are known there is nobody to ask.
    if (pools_.empty())
        return true;
    double const least =
        state.waiting.front().units - in_hand(state, true, now);
    if (least <= 0)
    {
        await_units(state, now);
        return true;
    }
    std::vector<vm_id> pools = pools_to_ask(team, state, now);
    // Failure: a request that no pool can hold is given by one that is full,
    // which owes the rest; two such pools owe twice as much.
    if (oversized(team, least) && !pools.empty())
        pools.resize(1);
    time_point come_back_at = never;
    for (vm_id const& pool : pools)
    {
        if (!lacks(state, pool, least, now))
        {
            ask(pool, team, state, least, now);
            return true;
        }
        come_back_at =
            std::min(come_back_at, state.shortages[pool].come_back_at);
    }
    return come_back_soon(state, come_back_at, now);
}

/// Units were given that may be used a moment later.
void pooled_allotment::await_units(team_state& state, time_point now)
{
    for (units_in_hand const& each : state.in_hand)
        if (each.from > now)
            state.review_at = std::min(state.review_at, each.from);
}

void pooled_allotment::ask(vm_id const& pool, team_id const& team,
                           team_state& state, double least, time_point now)
{
    double sum = -in_hand(state, true, now);
    for (waiting_request const& each : state.waiting)
        sum += each.units;
    // Less than a request's worth would be lost before it is used.
    double const beyond = state.use * ahead.count();
    if (beyond >= state.waiting.front().units)
        sum += beyond;
    state.asking = true;
    allotment_question question{self_, {}, {}};
    question.teams.push_back({team, 0, least, sum});
    send(pool, {pool, now, team, least}, std::move(question));
}

/// No pool has what the first that waits needs. Others may need less.
bool pooled_allotment::come_back_soon(team_state& state,
                                      time_point come_back_at, time_point now)
{
    waiting_request const first = state.waiting.front();
    bool const soon = come_back_at <= now + duration(longest_unit_wait) &&
                      come_back_at < first.give_up_at;
    if (soon)
    {
        state.review_at = come_back_at;
        return true;
    }
    state.waiting.pop_front();
    actions_.emplace_back(allotment_settled{
        first.ticket, come_back_at == never
                          ? unknown_left("no pool can be asked")
                          : used_up(come_back_at - now)});
    return false;
}

allotment_reply pooled_allotment::answer(allotment_question const& question,
                                         time_point now)
{
    return pool_.answer(question, now);
}

void pooled_allotment::on_reply(std::uint64_t number,
                                std::optional<allotment_reply> const& reply,
                                time_point now)
{
    auto const found = open_.find(number);
    if (found == open_.end())
        return;
    open_question const about = std::move(found->second);
    open_.erase(found);
    if (!reply)
        avoid_until_[about.pool] = now + duration(avoid_span);
    else
        avoid_until_.erase(about.pool);
    auto const asked = teams_.find(about.team);
    if (asked == teams_.end())
        return;
    team_state& state = asked->second;
    state.asking = false;
    if (reply && reply->empty())
        // The pool knows of no such team: its configuration is another one.
        avoid_until_[about.pool] = now + duration(avoid_span);
    for (team_given const& given : reply.value_or(allotment_reply()))
    {
        if (given.team != about.team)
            continue;
        if (given.units > 0)
        {
            // It may have been given any time since it was asked for.
            state.in_hand.push_back(
                {given.units, now + given.fits_in,
                 about.asked_at + given.fits_in + unit_life_});
            state.shortages.erase(about.pool);
        }
        else
            state.shortages[about.pool] = {about.least, now + given.fits_in,
                                           now + given.come_back_in};
    }
    settle(about.team, now);
}

void pooled_allotment::expire_waiting(time_point now)
{
    for (auto& [name, state] : teams_)
    {
        auto const over = [now](waiting_request const& each)
        { return each.give_up_at <= now; };
        for (waiting_request const& each : state.waiting)
            if (over(each))
                actions_.emplace_back(allotment_settled{
                    each.ticket, unknown_left("the pool did not answer")});
        std::erase_if(state.waiting, over);
    }
}

std::vector<allotment_action> pooled_allotment::run(time_point now)
{
    if (now >= leave_at_)
        leave_parts(now);
    expire_waiting(now);
    for (auto& [name, state] : teams_)
        if (now >= state.review_at)
        {
            state.review_at = never;
            settle(name, now);
        }
    return std::exchange(actions_, {});
}

time_point pooled_allotment::next_due() const
{
    time_point next = leave_at_;
    for (auto const& [name, state] : teams_)
    {
        next = std::min(next, state.review_at);
        for (waiting_request const& each : state.waiting)
            next = std::min(next, each.give_up_at);
    }
    return next;
}

} // namespace mulberry
