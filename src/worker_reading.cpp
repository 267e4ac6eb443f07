#include "worker_reading.hpp"

#include <algorithm>

namespace mulberry
{

duration worker_reading::ahead(time_point now) const
{
    return std::max<duration>(until_ - now, duration(0));
}

void worker_reading::add(duration reading, time_point now)
{
    if (until_ <= now)
        unread_.clear();
    until_ = std::max(until_, now) + reading;
    unread_.emplace(now, reading);
}

void worker_reading::begun(time_point sent_at, time_point now)
{
    unread_.erase(unread_.begin(), unread_.upper_bound(sent_at));
    duration left{};
    for (auto const& [at, reading] : unread_)
        left += reading;
    until_ = std::min(until_, now + left);
}

} // namespace mulberry
