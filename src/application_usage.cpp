#include "application_usage.hpp"

#include <utility>

namespace mulberry
{

void usage_meter::left_queue(application_id const& application)
{
    --active_.at(application).queued;
    erase_if_idle(application);
}

void usage_meter::ended(application_id const& application)
{
    --active_.at(application).running;
    erase_if_idle(application);
}

void usage_meter::erase_if_idle(application_id const& application)
{
    activity const left = active_.at(application);
    if (left.running + left.queued == 0)
        active_.erase(application);
}

void usage_meter::advance(duration passed, std::size_t batch_slots)
{
    std::size_t all = 0;
    for (auto const& [application, active] : active_)
        all += active.running + active.queued;
    for (auto const& [application, active] : active_)
    {
        auto const running = static_cast<duration::rep>(active.running);
        auto const own =
            static_cast<duration::rep>(active.running + active.queued);
        application_usage& used = usage_[application];
        used.busy_slot_time += passed * running;
        used.open_slot_time += passed *
                               static_cast<duration::rep>(batch_slots) * own /
                               static_cast<duration::rep>(all);
    }
}

usage_by_application usage_meter::take()
{
    return std::exchange(usage_, {});
}

} // namespace mulberry
