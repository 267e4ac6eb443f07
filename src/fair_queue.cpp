#include "fair_queue.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// A token of an answer takes an engine about as long as ten of a prompt.
constexpr double answer_token_cost = 10;
/// Limit on a request's cost, in mean costs. Otherwise the requests that follow
/// the largest ones of a team would wait past their objectives.
constexpr double max_cost_ratio = 4;
/// Weight of a new sample in the moving mean of costs.
constexpr double mean_cost_smoothing = 0.01;

} // namespace

double fair_queue::cost(std::uint32_t prompt_tokens,
                        std::uint32_t answer_tokens)
{
    return double(prompt_tokens) + answer_token_cost * double(answer_tokens);
}

double fair_queue::charged_cost(double cost)
{
    if (cost <= 0)
        return mean_cost_ > 0 ? mean_cost_ : 1;
    if (mean_cost_ <= 0)
        mean_cost_ = cost;
    double const charged = std::min(cost, max_cost_ratio * mean_cost_);
    mean_cost_ += mean_cost_smoothing * (cost - mean_cost_);
    return charged;
}

double fair_queue::last_finish(team_id const& team) const
{
    auto const known = finishes_.find(team);
    return known == finishes_.end() ? virtual_time_ : known->second;
}

double fair_queue::start_tag(team_id const& team, double weight, double cost)
{
    double const tag = last_finish(team);
    set_finish(team, tag + charged_cost(cost) / weight);
    return tag;
}

void fair_queue::set_finish(team_id const& team, double finish)
{
    if (auto const known = finishes_.find(team); known != finishes_.end())
    {
        by_finish_.erase({known->second, team});
        finishes_.erase(known);
    }
    if (finish <= virtual_time_)
        return;
    finishes_.emplace(team, finish);
    by_finish_.emplace(finish, team);
}

void fair_queue::forget_passed()
{
    while (!by_finish_.empty() && by_finish_.begin()->first <= virtual_time_)
    {
        finishes_.erase(by_finish_.begin()->second);
        by_finish_.erase(by_finish_.begin());
    }
}

void fair_queue::on_begun(double tag)
{
    if (tag <= virtual_time_)
        return;
    virtual_time_ = tag;
    forget_passed();
}

void fair_queue::on_dropped(team_id const& team, double tag, double finish)
{
    double const ahead = finish - std::max(tag, virtual_time_);
    if (ahead > 0)
        set_finish(team, last_finish(team) - ahead);
}

} // namespace mulberry
