#include "allotment_fleet.hpp"

#include "counter_allotment.hpp"
#include "equal_share_limiter.hpp"
#include "pooled_limiter.hpp"
#include "worker_limiter.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// VMs have settled by then; what is asked before does not count.
constexpr seconds warm_up{8};
constexpr seconds trouble_begins{20};
constexpr seconds trouble_span{6};
constexpr seconds hot_begins{12};
constexpr seconds hot_span{10};
constexpr seconds down_span{2};
constexpr seconds caller_stays{15};
constexpr milliseconds question_timeout{300};
/// One VM in twelve is large.
constexpr std::size_t large_every = 12;
constexpr unsigned large_millicores = 500;
constexpr unsigned small_millicores = 120;
/// Of a message: its head, and each entry of its body.
constexpr std::uint64_t head_bytes = 120;
constexpr std::uint64_t entry_bytes = 40;
/// The units of a plain request, and the mean and spread of the others.
constexpr double plain_units = 200;
constexpr double plain_share = 0.35;
constexpr double mean_units = 716;
constexpr double large_share = 0.04;
constexpr double large_units = 9190;
constexpr double lowered_to = 0.3;
constexpr std::size_t hot_team = 2;

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration span_of(double seconds_long)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds_long));
}

} // namespace

std::string_view to_string(allotment_way way)
{
    switch (way)
    {
    case allotment_way::equal:
        return "equal parts";
    case allotment_way::counters:
        return "counters";
    case allotment_way::pooled:
        return "pooled parts";
    }
    return "";
}

std::string_view to_string(allotment_trouble trouble)
{
    switch (trouble)
    {
    case allotment_trouble::none:
        return "none";
    case allotment_trouble::cut:
        return "a third cut off";
    case allotment_trouble::pool_lost:
        return "a pool lost";
    case allotment_trouble::herd_killed:
        return "half killed";
    case allotment_trouble::lowered:
        return "a limit lowered";
    }
    return "";
}

struct allotment_fleet::fleet_vm
{
    vm_id name;
    unsigned millicores = small_millicores;
    std::unique_ptr<allotment_limiter> keeper;
    /// Of its process; a reply to an earlier one is lost.
    std::uint64_t life = 1;
    bool up = true;
    bool cut = false;
    struct pending
    {
        std::size_t team = 0;
        double units = 0;
        bool owed = false;
        time_point asked_at{};
    };
    std::map<ticket_id, pending> pending_requests;
};

struct allotment_fleet::fleet_team
{
    allotment_id name;
    allotment limit;
    /// Units a second that it usually asks for.
    double usual = 0;
    double times = 1;
    std::vector<std::size_t> callers;
    /// One bucket for the whole fleet.
    token_bucket reference;
    std::vector<use> used;
    double owed = 0;
    double refused = 0;
    double owed_in_trouble = 0;
    double refused_in_trouble = 0;
};

allotment_fleet::allotment_fleet(allotment_plan plan, allotment_way way)
    : plan_(plan), way_(way), random_(plan.seed)
{
    add_teams();
    add_vms();
    schedule_callers();
    schedule_trouble();
}

allotment_fleet::~allotment_fleet() = default;

allotment_plan plan_of_limits(std::size_t vms, limit_plan limits)
{
    allotment_terms const terms = worker_limit_terms();
    allotment_plan plan;
    plan.vms = vms;
    plan.teams = 12;
    plan.hot = 1;
    plan.callers = vms * plan.teams;
    plan.over = terms.overshoot_ratio;
    plan.window = terms.window;
    plan.limits = limits;
    return plan;
}

allotment_terms allotment_fleet::terms() const
{
    allotment_terms made =
        plan_.limits ? worker_limit_terms() : allotment_terms();
    made.window = plan_.window;
    made.overshoot_ratio = plan_.over;
    return made;
}

void allotment_fleet::add_teams()
{
    for (std::size_t index = 0; index < plan_.teams; ++index)
    {
        auto made = std::make_unique<fleet_team>();
        made->name = allotment_id(fmt::format("team-{}", index));
        if (plan_.limits)
        {
            worker_limits named;
            named.on_answer(worker_id(made->name.str()),
                            plan_.limits->per_second, queue_.now(),
                            queue_.now());
            made->limit = named.allotments().begin()->second;
            made->usual = made->limit.per_second * plan_.limits->demand;
            made->reference.set_rate(made->limit.per_second, made->limit.burst,
                                     queue_.now());
            teams_.push_back(std::move(made));
            continue;
        }
        made->usual = plan_.largest_use / std::pow(double(index) + 1, 0.9);
        made->limit.unit = allotment_unit::tokens;
        made->limit.per_second = made->usual * plan_.allotted;
        made->limit.burst = made->limit.per_second;
        made->reference.set_rate(made->limit.per_second, made->limit.burst,
                                 queue_.now());
        teams_.push_back(std::move(made));
    }
}

std::unique_ptr<allotment_limiter>
allotment_fleet::make_keeper(std::size_t index)
{
    vm_id const self = vms_.at(index)->name;
    switch (way_)
    {
    case allotment_way::equal:
        return std::make_unique<equal_share_limiter>(terms());
    case allotment_way::pooled:
        return std::make_unique<pooled_limiter>(self, terms());
    case allotment_way::counters:
        break;
    }
    std::vector<vm_id> others;
    for (auto const& vm : vms_)
        if (vm->name != self)
            others.push_back(vm->name);
    return std::make_unique<counter_allotment>(self, std::move(others),
                                               random_());
}

void allotment_fleet::add_vms()
{
    for (std::size_t index = 0; index < plan_.vms; ++index)
    {
        auto vm = std::make_unique<fleet_vm>();
        vm->name = vm_id(fmt::format("vm-{}", index));
        vm->millicores =
            index % large_every == 0 ? large_millicores : small_millicores;
        numbers_[vm->name] = index;
        vms_.push_back(std::move(vm));
    }
    for (std::size_t index = 0; index < vms_.size(); ++index)
        start_again(index);
}

void allotment_fleet::start_again(std::size_t vm)
{
    fleet_vm& started = *vms_.at(vm);
    started.up = true;
    ++started.life;
    started.keeper = make_keeper(vm);
    started.keeper->refuse_early(plan_.early_wait);
    std::map<allotment_id, allotment> limits;
    for (auto const& team : teams_)
        limits.emplace(team->name, team->limit);
    started.keeper->set_allotments(limits, queue_.now());
    allotment_members members;
    members.count = plan_.vms;
    members.joined = true;
    for (auto const& each : vms_)
        members.candidates.push_back({each->name, each->millicores});
    started.keeper->set_members(std::move(members), queue_.now());
    act(vm);
}

void allotment_fleet::kill(std::size_t vm)
{
    fleet_vm& killed = *vms_.at(vm);
    killed.up = false;
    ++killed.life;
    killed.pending_requests.clear();
}

void allotment_fleet::schedule_callers()
{
    std::uniform_int_distribution<std::size_t> any_vm(0, plan_.vms - 1);
    for (std::size_t caller = 0; caller < plan_.callers; ++caller)
    {
        caller_at_.push_back(
            plan_.limits && plan_.limits->one_vm ? 0 : any_vm(random_));
        // The larger a team the more callers, one at least.
        std::size_t const team =
            plan_.limits ? caller % plan_.teams
            : caller < plan_.teams
                ? caller
                : std::size_t(
                      double(plan_.teams) *
                      std::pow(double(caller) / double(plan_.callers), 3));
        teams_.at(team)->callers.push_back(caller);
    }
    for (std::size_t team = 0; team < teams_.size(); ++team)
        for (std::size_t const caller : teams_[team]->callers)
            request_soon(team, caller);
    for (time_point at{caller_stays}; at < time_point(plan_.length);
         at += caller_stays)
        queue_.at(at,
                  [this]
                  {
                      if (plan_.limits && plan_.limits->one_vm)
                          return;
                      std::uniform_int_distribution<std::size_t> anywhere(
                          0, plan_.vms - 1);
                      for (std::size_t& each : caller_at_)
                          each = anywhere(random_);
                  });
    queue_.at(time_point(hot_begins),
              [this] { teams_.at(hot_team)->times = plan_.hot; });
    queue_.at(time_point(hot_begins + hot_span),
              [this] { teams_.at(hot_team)->times = 1; });
}

void allotment_fleet::schedule_trouble()
{
    if (plan_.trouble == allotment_trouble::none)
        return;
    trouble_at_ = time_point(trouble_begins);
    queue_.at(trouble_at_,
              [this]
              {
                  switch (plan_.trouble)
                  {
                  case allotment_trouble::none:
                      break;
                  case allotment_trouble::cut:
                      for (std::size_t vm = 1; vm < vms_.size(); vm += 3)
                          vms_[vm]->cut = true;
                      break;
                  case allotment_trouble::pool_lost:
                      kill(0);
                      break;
                  case allotment_trouble::herd_killed:
                      for (std::size_t vm = 0; vm < vms_.size(); vm += 2)
                          kill(vm);
                      break;
                  case allotment_trouble::lowered:
                      teams_[0]->limit.per_second *= lowered_to;
                      teams_[0]->limit.burst *= lowered_to;
                      teams_[0]->reference.set_rate(teams_[0]->limit.per_second,
                                                    teams_[0]->limit.burst,
                                                    queue_.now());
                      for (auto const& vm : vms_)
                      {
                          std::map<allotment_id, allotment> limits;
                          for (auto const& team : teams_)
                              limits.emplace(team->name, team->limit);
                          vm->keeper->set_allotments(limits, queue_.now());
                      }
                      break;
                  }
              });
    queue_.at(trouble_at_ + duration(trouble_span),
              [this]
              {
                  for (auto const& vm : vms_)
                      vm->cut = false;
              });
    if (plan_.trouble == allotment_trouble::herd_killed)
        queue_.at(trouble_at_ + duration(down_span),
                  [this]
                  {
                      for (std::size_t vm = 0; vm < vms_.size(); vm += 2)
                          start_again(vm);
                  });
}

double allotment_fleet::draw_units()
{
    if (plan_.limits)
        return 1;
    double const drawn = std::uniform_real_distribution<double>()(random_);
    if (drawn < plain_share)
        return plain_units;
    double const mean = drawn > 1 - large_share ? large_units : mean_units;
    // Log-normal, the mean kept.
    return mean *
           std::exp(std::normal_distribution<double>(-0.18, 0.6)(random_));
}

void allotment_fleet::request_soon(std::size_t team, std::size_t caller)
{
    fleet_team const& of = *teams_.at(team);
    double const mean_of_all = plain_share * plain_units +
                               (1 - plain_share - large_share) * mean_units +
                               large_share * large_units;
    double const units_per_request = plan_.limits ? 1 : mean_of_all;
    double const per_second =
        of.usual * of.times / units_per_request / double(of.callers.size());
    double const gap =
        std::exponential_distribution<double>(per_second)(random_);
    // A change of the team's use is noticed soon.
    queue_.after(span_of(std::min(gap, 1.0)),
                 [this, team, caller, real = gap <= 1.0]
                 {
                     if (real)
                         request(team, caller);
                     request_soon(team, caller);
                 });
}

void allotment_fleet::request(std::size_t team, std::size_t caller)
{
    std::size_t vm = caller_at_.at(caller);
    for (std::size_t tried = 0; !vms_.at(vm)->up && tried < vms_.size();
         ++tried)
        vm = (vm + 1) % vms_.size();
    fleet_team& of = *teams_.at(team);
    fleet_vm& at = *vms_.at(vm);
    double const units = draw_units();
    bool const owed = of.reference.try_take(units, queue_.now()) &&
                      queue_.now() >= time_point(warm_up);
    if (owed)
        of.owed += units;
    bool const in_trouble =
        queue_.now() >= trouble_at_ && queue_.now() < trouble_at_ + seconds(3);
    if (owed && in_trouble)
        of.owed_in_trouble += units;
    ticket_id const ticket(++last_ticket_);
    at.pending_requests[ticket] = {team, units, owed, queue_.now()};
    at.keeper->request({ticket, of.name, units, queue_.now() + seconds(5)},
                       queue_.now());
    act(vm);
}

void allotment_fleet::act(std::size_t vm)
{
    fleet_vm& acting = *vms_.at(vm);
    for (allotment_action const& action : acting.keeper->run(queue_.now()))
    {
        if (auto const* ask = std::get_if<query_pool>(&action))
        {
            deliver(vm, *ask);
            continue;
        }
        auto const& settled = std::get<allotment_decision>(action);
        auto const found = acting.pending_requests.find(settled.ticket);
        if (found == acting.pending_requests.end())
            continue;
        fleet_team& of = *teams_.at(found->second.team);
        if (queue_.now() >= time_point(warm_up))
            longest_wait_ =
                std::max(longest_wait_, queue_.now() - found->second.asked_at);
        if (!settled.refused)
            of.used.push_back({queue_.now(), found->second.units});
        else if (found->second.owed)
        {
            of.refused += found->second.units;
            if (queue_.now() >= trouble_at_ &&
                queue_.now() < trouble_at_ + seconds(3))
                of.refused_in_trouble += found->second.units;
        }
        acting.pending_requests.erase(found);
    }
    wake(vm);
}

void allotment_fleet::wake(std::size_t vm)
{
    time_point const due = vms_.at(vm)->keeper->next_due();
    if (due == never)
        return;
    queue_.at(std::max(due, queue_.now() + milliseconds(1)),
              [this, vm, life = vms_.at(vm)->life]
              {
                  fleet_vm const& woken = *vms_.at(vm);
                  if (woken.life == life && woken.up &&
                      woken.keeper->next_due() <= queue_.now())
                      act(vm);
              });
}

bool allotment_fleet::connected(std::size_t from, std::size_t to) const
{
    return vms_.at(to)->up &&
           (from == to || (!vms_.at(from)->cut && !vms_.at(to)->cut));
}

std::size_t allotment_fleet::number_of(vm_id const& vm) const
{
    return numbers_.at(vm);
}

void allotment_fleet::deliver(std::size_t from, query_pool const& ask)
{
    std::size_t const to = number_of(ask.pool);
    std::uint64_t const life = vms_.at(from)->life;
    if (from != to)
    {
        ++messages_;
        bytes_ += head_bytes + entry_bytes * ask.query.teams.size();
    }
    if (!connected(from, to))
    {
        queue_.after(question_timeout, [this, from, life, number = ask.number]
                     { reply(from, life, number, std::nullopt); });
        return;
    }
    duration const way = from == to ? duration(0) : plan_.one_way;
    queue_.after(
        way,
        [this, from, to, life, way, ask]
        {
            if (!vms_.at(to)->up)
                return;
            auto const given =
                vms_.at(to)->keeper->answer(ask.query, queue_.now());
            bytes_ += from == to ? 0 : head_bytes + entry_bytes * given.size();
            queue_.after(way, [this, from, life, number = ask.number, given]
                         { reply(from, life, number, given); });
        });
}

void allotment_fleet::reply(std::size_t to, std::uint64_t life,
                            std::uint64_t number,
                            std::optional<allotment_reply> const& given)
{
    fleet_vm& told = *vms_.at(to);
    if (told.life != life || !told.up)
        return;
    told.keeper->on_reply(number, given, queue_.now());
    act(to);
}

allotment_result allotment_fleet::play()
{
    queue_.run_until(time_point(plan_.length));
    return judge();
}

double allotment_fleet::worst_window(fleet_team const& team) const
{
    bool const lowered = plan_.trouble == allotment_trouble::lowered;
    // A lower limit binds once the window holds nothing from before it.
    time_point const from = lowered ? trouble_at_ + plan_.window : time_point();
    double const allowed =
        team.limit.per_second * seconds_of(plan_.window) + team.limit.burst;
    double sum = 0;
    double worst = 0;
    std::size_t first = 0;
    for (use const& each : team.used)
    {
        sum += each.units;
        while (team.used.at(first).at <= each.at - plan_.window)
            sum -= team.used.at(first++).units;
        if (each.at >= from)
            worst = std::max(worst, sum / allowed);
    }
    return worst;
}

double allotment_fleet::used_share(fleet_team const& team) const
{
    double used = 0;
    for (use const& each : team.used)
        if (each.at >= time_point(warm_up))
            used += each.units;
    return used / (team.limit.per_second * seconds_of(plan_.length - warm_up));
}

void allotment_fleet::judge_hot(allotment_result& result) const
{
    double owed = 0;
    double refused = 0;
    for (std::size_t index = 0; index < teams_.size(); ++index)
        if (index != hot_team)
        {
            owed += teams_[index]->owed;
            refused += teams_[index]->refused;
        }
    result.refused_of_usual = owed > 0 ? refused / owed : 0;
    double used = 0;
    for (use const& each : teams_.at(hot_team)->used)
        if (each.at >= time_point(warm_up))
            used += each.units;
    result.hot_used = used / std::max(1.0, teams_.at(hot_team)->owed);
}

allotment_result allotment_fleet::judge() const
{
    allotment_result result;
    result.least_used = used_share(*teams_.front());
    double owed = 0;
    double refused = 0;
    double owed_in_trouble = 0;
    double refused_in_trouble = 0;
    for (auto const& team : teams_)
    {
        result.worst_window =
            std::max(result.worst_window, worst_window(*team));
        result.least_used = std::min(result.least_used, used_share(*team));
        owed += team->owed;
        refused += team->refused;
        owed_in_trouble += team->owed_in_trouble;
        refused_in_trouble += team->refused_in_trouble;
    }
    result.longest_wait = longest_wait_;
    result.refused_below = owed > 0 ? refused / owed : 0;
    result.refused_in_trouble =
        owed_in_trouble > 0 ? refused_in_trouble / owed_in_trouble : 0;
    judge_hot(result);
    double const vm_seconds = double(plan_.vms) * seconds_of(plan_.length);
    result.messages_per_vm_second = double(messages_) / vm_seconds;
    result.bytes_per_vm_second = double(bytes_) / vm_seconds;
    if (plan_.trouble != allotment_trouble::lowered)
        return result;
    fleet_team const& lowered = *teams_.front();
    for (time_point at = trouble_at_; at < time_point(plan_.length);
         at += milliseconds(100))
    {
        double in_second = 0;
        for (use const& each : lowered.used)
            if (each.at >= at && each.at < at + seconds(1))
                in_second += each.units;
        result.follows_in = at - trouble_at_;
        if (in_second <= lowered.limit.per_second * (1 + plan_.over))
            break;
    }
    return result;
}

} // namespace mulberry
