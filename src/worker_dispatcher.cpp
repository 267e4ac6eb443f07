#include "worker_dispatcher.hpp"

#include "dispatch_core.hpp"

#include <utility>

namespace mulberry
{

worker_dispatcher::worker_dispatcher(worker_declaration worker,
                                     ownership_grant const& grant,
                                     dispatcher_limits const& limits,
                                     routing_policy& policy,
                                     load_budget& budget,
                                     safeguards const& checks, id_source& ids,
                                     time_point now)
    : core_(std::make_unique<dispatch_core>(std::move(worker), grant, limits,
                                            policy, budget, checks, ids, now))
{
}

worker_dispatcher::~worker_dispatcher() = default;
worker_dispatcher::worker_dispatcher(worker_dispatcher&&) noexcept = default;

void worker_dispatcher::submit(model_request request, time_point now,
                               action_list& actions)
{
    core_->submit(std::move(request), now, actions);
}

void worker_dispatcher::withdraw(request_id const& request, time_point now,
                                 action_list& actions)
{
    core_->withdraw(request, now, actions);
}

void worker_dispatcher::on_chunk(attempt_chunk const& event, time_point now,
                                 action_list& actions)
{
    core_->on_chunk(event, now, actions);
}

void worker_dispatcher::on_end(attempt_end const& event, time_point now,
                               action_list& actions)
{
    core_->on_end(event, now, actions);
}

void worker_dispatcher::on_failure(attempt_failure const& event, time_point now,
                                   action_list& actions)
{
    core_->on_failure(event, now, actions);
}

void worker_dispatcher::on_order(order_result const& event, time_point now,
                                 action_list& actions)
{
    core_->on_order(event, now, actions);
}

void worker_dispatcher::on_intent(order_id order, bool recorded, time_point now,
                                  action_list& actions)
{
    core_->on_intent(order, recorded, now, actions);
}

void worker_dispatcher::on_report(engine_report const& report, time_point now,
                                  action_list& actions)
{
    core_->on_report(report, now, actions);
}

void worker_dispatcher::suspects_stopped(time_point stopped_at, time_point)
{
    core_->suspects_stopped(stopped_at);
}

void worker_dispatcher::stop_admitting(time_point now, action_list& actions)
{
    core_->stop_admitting(now, actions);
}

void worker_dispatcher::set_may_evict(bool may)
{
    core_->set_may_evict(may);
}

std::size_t worker_dispatcher::in_progress() const
{
    return core_->in_progress();
}

bool worker_dispatcher::has_abandoned_requests(time_point now) const
{
    return core_->has_abandoned_requests(now);
}

std::size_t worker_dispatcher::orders_in_progress() const
{
    return core_->orders_in_progress();
}

void worker_dispatcher::tick(time_point now, action_list& actions)
{
    core_->tick(now, actions);
}

void worker_dispatcher::set_cluster(cluster_view const* cluster)
{
    core_->set_cluster(cluster);
}

worker_view worker_dispatcher::view(time_point now) const
{
    return core_->view(now);
}

std::size_t worker_dispatcher::loads_wanted() const
{
    return core_->loads_wanted();
}

dispatch_counts worker_dispatcher::counts(time_point now) const
{
    return core_->counts(now);
}

usage_by_application worker_dispatcher::take_usage(time_point now)
{
    return core_->take_usage(now);
}

bool worker_dispatcher::knows(attempt_id attempt) const
{
    return core_->knows(attempt);
}

bool worker_dispatcher::knows(order_id order) const
{
    return core_->knows(order);
}

bool worker_dispatcher::knows(request_id const& request) const
{
    return core_->knows(request);
}

} // namespace mulberry
