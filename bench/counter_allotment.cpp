#include "counter_allotment.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tell_interval{500};
/// What rose so lately is told: two rounds reach everybody or nearly so.
constexpr milliseconds told_span{1500};

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

counter_allotment::counter_allotment(vm_id self, std::vector<vm_id> others,
                                     std::uint64_t seed)
    : self_(std::move(self)), others_(std::move(others)), random_(seed)
{
}

void counter_allotment::set_allotments(
    std::map<allotment_id, allotment> const& teams, time_point now)
{
    std::erase_if(teams_, [&teams](auto const& each)
                  { return teams.count(each.first) == 0; });
    for (auto const& [name, limit] : teams)
    {
        auto const [found, added] = teams_.try_emplace(name);
        if (added)
            found->second.as_of = now;
        refill(found->second, now);
        found->second.limit = limit;
    }
}

void counter_allotment::set_members(allotment_members /*members*/,
                                    time_point /*now*/)
{
}

void counter_allotment::refill(team_state& state, time_point now)
{
    state.level = std::min(state.limit.burst,
                           state.level + state.limit.per_second *
                                             seconds_of(now - state.as_of));
    state.as_of = now;
}

void counter_allotment::request(unit_request const& asked, time_point now)
{
    auto const& [ticket, team, units, give_up_at, objective_at] = asked;
    auto const found = teams_.find(team);
    if (found == teams_.end())
    {
        actions_.emplace_back(allotment_decision{ticket, std::nullopt});
        return;
    }
    team_state& state = found->second;
    refill(state, now);
    if (state.level < std::min(units, state.limit.burst))
    {
        actions_.emplace_back(allotment_decision{
            ticket, error(error_kind::over_allotment, "used up", ran::no,
                          milliseconds(500))});
        return;
    }
    state.level -= units;
    counter& own = state.counters[self_];
    own = {own.units + units, now};
    actions_.emplace_back(allotment_decision{ticket, std::nullopt});
}

void counter_allotment::give_back(allotment_id const& /*team*/,
                                  double /*units*/, time_point /*now*/)
{
}

allotment_reply counter_allotment::answer(allotment_query const& query,
                                          time_point now)
{
    for (allotment_need const& told : query.teams)
    {
        auto const slash = told.team.str().find('/');
        auto const found =
            teams_.find(allotment_id(told.team.str().substr(slash + 1)));
        vm_id const of(told.team.str().substr(0, slash));
        if (found == teams_.end() || of == self_)
            continue;
        team_state& state = found->second;
        counter& known = state.counters[of];
        if (told.max_units <= known.units)
            continue;
        refill(state, now);
        state.level -= told.max_units - known.units;
        known = {told.max_units, now};
    }
    return {};
}

std::vector<allotment_action> counter_allotment::run(time_point now)
{
    if (now >= tell_at_ && !others_.empty())
    {
        tell_at_ = now + random_.equal_jitter(tell_interval);
        allotment_query query{self_, {}, {}};
        for (auto const& [name, state] : teams_)
            for (auto const& [vm, known] : state.counters)
                if (known.rose_at + told_span > now)
                    query.teams.push_back(
                        {allotment_id(vm.str() + "/" + name.str()), 0, 0,
                         known.units});
        auto const count = static_cast<std::size_t>(
            std::ceil(std::log(double(others_.size()) + 1) + 2));
        for (std::size_t sent = 0; sent < count && !query.teams.empty(); ++sent)
            actions_.emplace_back(
                query_pool{others_.at(random_.next() % others_.size()),
                           ++last_number_, query});
    }
    return std::exchange(actions_, {});
}

} // namespace mulberry
