#include "prefill_backlog.hpp"

#include <algorithm>

namespace mulberry
{

duration prefill_backlog::ahead(time_point now) const
{
    return std::max<duration>(ends_at_ - now, duration(0));
}

void prefill_backlog::add(duration prefill_time, time_point now)
{
    if (ends_at_ <= now)
        pending_.clear();
    ends_at_ = std::max(ends_at_, now) + prefill_time;
    pending_.emplace(now, prefill_time);
}

void prefill_backlog::remove(time_point sent_at, time_point now)
{
    auto const found = pending_.find(sent_at);
    if (found == pending_.end())
        return;
    ends_at_ = std::max(ends_at_ - found->second, now);
    pending_.erase(found);
}

void prefill_backlog::on_first_byte(time_point sent_at, time_point now)
{
    pending_.erase(pending_.begin(), pending_.upper_bound(sent_at));
    duration left{};
    for (auto const& [at, prefill_time] : pending_)
        left += prefill_time;
    ends_at_ = std::min(ends_at_, now + left);
}

} // namespace mulberry
