// The shares of teams in the scheduler's queue.
#include "service_scheduler.hpp"

namespace mulberry
{

/// Requests without a team count as one team beside the others. At a service
/// without teams the order of arrival remains.
void service_scheduler::tag_by_share(waiting_item& waiting)
{
    work_item const& item = waiting.item;
    has_teams_ |= !item.team.empty();
    if (!by_objective_ || !has_teams_)
        return;
    waiting.tag = shares_.start_tag(
        item.team, item.team_weight,
        fair_queue::cost(item.prompt_tokens, item.answer_tokens));
    waiting.finish = shares_.last_finish(item.team);
}

/// Another VM's request is counted there, so that the sum over all VMs counts
/// each request once.
void service_scheduler::count_share(waiting_item const& waiting)
{
    work_item const& item = waiting.item;
    if (!by_objective_)
        return;
    shares_.on_begun(waiting.tag);
    if (!item.team.empty() && !item.requested_worker)
        counts_.team_tokens_started[item.team] +=
            std::uint64_t{item.prompt_tokens} + item.answer_tokens;
}

void service_scheduler::drop_share(waiting_item const& waiting)
{
    if (waiting.finish > waiting.tag)
        shares_.on_dropped(waiting.item.team, waiting.tag, waiting.finish);
}

} // namespace mulberry
