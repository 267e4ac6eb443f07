// The core's counts for the quarter's targets, and its status.
#include "vm_core.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr duration usage_interval = std::chrono::seconds(1);

} // namespace

void vm_core::on(quarter_started const& event, time_point now, action_list&)
{
    quarter_.set_quarter(event.name, event.ends, now);
}

void vm_core::count_completed(model_request const& request, duration took)
{
    quarter_.count_answer(request.application, took);
}

void vm_core::count_failed(model_request const& request, error_kind kind)
{
    if (!is_callers_fault(kind))
        quarter_.count_answer(request.application, std::nullopt);
}

void vm_core::count_withdrawn(model_request const& request, duration waited)
{
    quarter_.count_withdrawn(request.application, waited);
}

void vm_core::update_quarter(time_point now, action_list& actions)
{
    if (now >= next_usage_at_)
    {
        next_usage_at_ = now + usage_interval;
        for (worker_dispatcher* one : all_dispatchers())
            count_usage(*one, now);
        quarter_.set_folding_enabled(folds_rows());
    }
    quarter_.tick(now, actions);
}

void vm_core::count_usage(worker_dispatcher& dispatcher, time_point now)
{
    for (auto const& [application, used] : dispatcher.take_usage(now))
    {
        quarter_.count_stalls(application, used.stalled);
        quarter_.add_slot_time(application, used.busy_slot_time,
                               used.open_slot_time);
    }
}

bool vm_core::folds_rows() const
{
    if (!ownership_.registered())
        return false;
    auto const members = ownership_.members();
    return std::none_of(members.begin(), members.end(),
                        [this](member_view const& member)
                        { return member.vm < settings_.ownership.vm; });
}

core_status vm_core::status(time_point now) const
{
    core_status result;
    result.vm = settings_.ownership.vm;
    result.vm_incarnation = ownership_.incarnation_number();
    result.registered = ownership_.registered();
    result.leaving = leaving_since_.has_value();
    result.takes_new_work = takes_new_work(now);
    result.lease_holds = ownership_.lease_holds(now);
    result.going_on_without_table = configuration_.going_on_without_table(now);
    result.configuration_known = configuration_.is_known(now);
    result.configuration = configuration_.version();
    result.declared = declared_;
    result.members = ownership_.members();
    result.in_progress = in_progress();
    result.entry = entry_.counts();
    result.first_event_latency = entry_.first_event_latency();
    result.answer_latency = entry_.answer_latency();
    result.services = services_.counts();
    result.retired_counts = retired_counts_;
    result.quarter = quarter_.quarter();
    result.standings = quarter_.standings(now);
    for (auto const& [id, dispatcher] : dispatchers_)
        result.workers.push_back({dispatcher->view(now),
                                  ownership_.fence_of(id),
                                  dispatcher->counts(now)});
    for (worker_view const* worker : view_.all())
        for (resident_view const& resident : worker->residents)
            result.residents[worker->id].push_back(resident.adapter);
    return result;
}

} // namespace mulberry
