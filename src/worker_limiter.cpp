#include "worker_limiter.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::milliseconds spread_interval{500};

bool same_limit(worker_limit_notice const& left,
                worker_limit_notice const& right)
{
    return left.worker == right.worker && left.per_second == right.per_second;
}

} // namespace

allotment_terms worker_limit_terms()
{
    allotment_terms terms;
    terms.window = std::chrono::seconds(4);
    terms.overshoot_ratio = 0.1;
    // Another worker may take the request at once.
    terms.max_unit_wait = duration(0);
    return terms;
}

worker_limiter::worker_limiter(vm_id self,
                               std::unique_ptr<allotment_limiter> units)
    : self_(std::move(self)), units_(std::move(units))
{
}

bool worker_limiter::on_answer(worker_id const& worker,
                               std::optional<double> per_second,
                               time_point sent_at, time_point now)
{
    if (!per_second && limits_.empty())
        return false;
    bool const changed = limits_.on_answer(worker, per_second, sent_at, now);
    if (changed)
        on_limit_changed(worker, now);
    return changed;
}

void worker_limiter::on_limit_changed(worker_id const& worker, time_point now)
{
    spread_[worker].informed.clear();
    if (auto const limit = limits_.limit_of(worker))
        usage_[worker].per_second = *limit;
    else
        usage_.erase(worker);
    changed_.insert(worker);
    units_->set_allotments(limits_.allotments(), now);
    spread_at_ = std::min(spread_at_, now);
}

void worker_limiter::set_members(allotment_members members, time_point now)
{
    others_.clear();
    for (ranked_vm const& each : members.candidates)
        if (each.vm != self_)
            others_.insert(each.vm);
    units_->set_members(std::move(members), now);
}

void worker_limiter::request(ticket_id ticket, worker_id const& worker,
                             time_point give_up_at, time_point now)
{
    pending_.emplace(ticket, worker);
    units_->request({ticket, allotment_key(worker), 1, give_up_at}, now);
}

void worker_limiter::withdraw(ticket_id ticket)
{
    if (pending_.erase(ticket) > 0)
        units_->withdraw(ticket);
}

void worker_limiter::give_back(worker_id const& worker, time_point now)
{
    units_->give_back(allotment_key(worker), 1, now);
}

void worker_limiter::apply_notices(
    vm_id const& from, std::vector<worker_limit_notice> const& notices,
    time_point now)
{
    for (worker_limit_notice const& each : notices)
    {
        if (limits_.on_notice(each, now))
            on_limit_changed(each.worker, now);
        if (limits_.limit_of(each.worker) == each.per_second)
            spread_[each.worker].informed.insert(from);
    }
}

std::vector<worker_limit_notice>
worker_limiter::notices_about(allotment_query const& query) const
{
    std::vector<worker_limit_notice> about;
    for (allotment_need const& each : query.teams)
        if (auto const known = limits_.notice_of(worker_id(each.team.str())))
            about.push_back(*known);
    return about;
}

worker_limit_reply worker_limiter::answer(worker_limit_query const& query,
                                          time_point now)
{
    apply_notices(query.query.from, query.notices, now);
    worker_limit_reply reply;
    for (worker_limit_notice const& each : query.notices)
        if (auto const known = limits_.notice_of(each.worker);
            known && !same_limit(*known, each))
            reply.notices.push_back(*known);
    for (allotment_need const& each : query.query.teams)
        if (each.share > 0)
        {
            time_point& until =
                spread_[worker_id(each.team.str())].pooled_until;
            until = std::max(until, now + query.query.delegated_for);
            spread_at_ = std::min(spread_at_, now + duration(spread_interval));
        }
    reply.reply = units_->answer(query.query, now);
    return reply;
}

void worker_limiter::on_reply(std::uint64_t number,
                              std::optional<worker_limit_reply> const& reply,
                              time_point now)
{
    auto const found = open_queries_.find(number);
    if (found == open_queries_.end())
        return;
    open_query const about = std::move(found->second);
    open_queries_.erase(found);
    if (reply)
    {
        for (worker_limit_notice const& each : about.notices)
            if (limits_.limit_of(each.worker) == each.per_second)
                spread_[each.worker].informed.insert(about.to);
        apply_notices(about.to, reply->notices, now);
    }
    if (about.units_number == 0)
        return;
    units_->on_reply(about.units_number,
                     reply ? std::optional(reply->reply) : std::nullopt, now);
}

void worker_limiter::send(vm_id const& to, std::uint64_t units_number,
                          worker_limit_query message)
{
    std::uint64_t const number = ++last_number_;
    open_queries_.emplace(number,
                          open_query{to, units_number, message.notices});
    actions_.emplace_back(query_vm{to, number, std::move(message)});
}

std::set<vm_id> worker_limiter::recipients(spread_state const& state,
                                           time_point now) const
{
    std::set<vm_id> all = state.pools;
    if (now < state.pooled_until)
        all.insert(others_.begin(), others_.end());
    std::erase_if(all,
                  [this, &state](vm_id const& each)
                  {
                      return each == self_ || state.informed.count(each) > 0 ||
                             others_.count(each) == 0;
                  });
    return all;
}

void worker_limiter::spread_notices(time_point now)
{
    std::map<vm_id, std::vector<worker_limit_notice>> by_recipient;
    for (worker_limit_notice const& each : limits_.notices())
        for (vm_id const& to : recipients(spread_[each.worker], now))
            by_recipient[to].push_back(each);
    for (auto& [to, notices] : by_recipient)
        send(to, 0, {{self_, {}, {}}, std::move(notices)});
    spread_at_ = limits_.empty() ? never : now + duration(spread_interval);
}

std::vector<worker_limit_action> worker_limiter::run(time_point now)
{
    if (limits_.empty() && pending_.empty())
        return {};
    if (limits_.forget_past(now))
    {
        std::erase_if(spread_, [this](auto const& each)
                      { return !limits_.notice_of(each.first); });
        std::erase_if(usage_, [this](auto const& each)
                      { return !limits_.is_limited(each.first); });
        units_->set_allotments(limits_.allotments(), now);
    }
    for (allotment_action const& action : units_->run(now))
    {
        if (auto const* ask = std::get_if<query_pool>(&action))
        {
            for (allotment_need const& each : ask->query.teams)
                spread_[worker_id(each.team.str())].pools.insert(ask->pool);
            send(ask->pool, ask->number,
                 {ask->query, notices_about(ask->query)});
            continue;
        }
        auto const& decided = std::get<allotment_decision>(action);
        auto const found = pending_.extract(decided.ticket);
        if (found.empty())
            continue;
        send_decision decision{decided.ticket, found.mapped(),
                               !decided.refused};
        if (auto const used = usage_.find(found.mapped()); used != usage_.end())
            ++(decision.admitted ? used->second.admitted
                                 : used->second.refused);
        if (decided.refused)
        {
            decision.retry_after =
                decided.refused->retry_after().value_or(duration(0));
            decision.available_at = decided.available_at == never
                                        ? now + decision.retry_after
                                        : decided.available_at;
        }
        actions_.emplace_back(std::move(decision));
    }
    if (now >= spread_at_)
        spread_notices(now);
    return std::exchange(actions_, {});
}

time_point worker_limiter::next_due() const
{
    if (limits_.empty() && pending_.empty())
        return never;
    return std::min(units_->next_due(), spread_at_);
}

std::set<worker_id> worker_limiter::take_changed()
{
    return std::exchange(changed_, {});
}

std::map<worker_id, worker_limit_usage> worker_limiter::usage() const
{
    return usage_;
}

} // namespace mulberry
