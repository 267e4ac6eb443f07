#include "event_queue.hpp"

#include <algorithm>

namespace mulberry
{

void event_queue::at(time_point when, event what)
{
    events_.emplace(std::pair(std::max(when, now_), ++added_), std::move(what));
}

void event_queue::run_until(time_point end)
{
    while (!events_.empty() && events_.begin()->first.first <= end)
    {
        auto node = events_.extract(events_.begin());
        now_ = node.key().first;
        node.mapped()();
    }
    now_ = end;
}

} // namespace mulberry
