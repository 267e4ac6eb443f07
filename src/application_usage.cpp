#include "application_usage.hpp"

#include <utility>

namespace mulberry
{

void usage_meter::left_queue(application_id const& who)
{
    --present_.at(who).queued;
    forget_if_gone(who);
}

void usage_meter::ended(application_id const& who)
{
    --present_.at(who).running;
    forget_if_gone(who);
}

void usage_meter::forget_if_gone(application_id const& who)
{
    presence const left = present_.at(who);
    if (left.running + left.queued == 0)
        present_.erase(who);
}

void usage_meter::advance(duration passed, std::size_t batch_slots)
{
    std::size_t all = 0;
    for (auto const& [who, here] : present_)
        all += here.running + here.queued;
    for (auto const& [who, here] : present_)
    {
        auto const running = static_cast<duration::rep>(here.running);
        auto const own = static_cast<duration::rep>(here.running + here.queued);
        application_usage& used = usage_[who];
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
