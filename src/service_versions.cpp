// Versions of adapters and weights that requests may start on; see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{

adapter_version
service_scheduler::newest_version(model_target const& target) const
{
    return version_history_.newest(target);
}

/// The newest version that was declared or that a worker lists. A worker may
/// load a version before this VM learns of the declaration.
weights_version
service_scheduler::newest_weights(base_model_id const& model) const
{
    auto const declared = declared_weights_.find(model);
    weights_version newest = declared == declared_weights_.end()
                                 ? weights_version()
                                 : declared->second;
    for (auto const& [id, worker] : workers_)
        newest = std::max(newest, weights_of(worker->entry, model));
    return newest;
}

adapter_version
service_scheduler::believed_version(worker_state const& worker,
                                    model_target const& target) const
{
    if (worker.owned && worker.adapters.is_state_known())
        return worker.adapters.version(target);
    for (held_model const& held : worker.entry.models)
        if (auto const copy = held.adapters.find(target.adapter);
            held.model == target.model && copy != held.adapters.end())
            return copy->second;
    return {};
}

/// If no version of the adapter was declared, only version 1 exists.
served_versions service_scheduler::versions_at(worker_state const& worker,
                                               model_target const& target) const
{
    served_versions known;
    known.weights = weights_of(worker.entry, target.model);
    if (target.adapter.empty())
        return known;
    known.adapter = believed_version(worker, target);
    if (newest_version(target) == adapter_version())
        known.adapter = std::max(known.adapter, adapter_version(1));
    return known;
}

/// A copy may be assumed to be newer than it is, after orders whose answers
/// were lost or late, and a request would start on the old version long after
/// the new one was declared. Therefore the request names a version, and the
/// worker rejects the request if its copy has another one.
adapter_version
service_scheduler::required_version(std::optional<model_target> const& target,
                                    adapter_version copy, time_point now) const
{
    if (!target)
        return {};
    adapter_version const newest = newest_version(*target);
    if (newest != adapter_version() && copy >= newest)
        return copy;
    adapter_version const oldest =
        version_history_.oldest_allowed(*target, now);
    if (oldest == adapter_version())
        return {};
    return copy >= oldest ? copy : newest;
}

std::optional<superseded_copy>
service_scheduler::find_superseded(std::optional<model_target> const& target,
                                   adapter_version copy) const
{
    if (!target || target->adapter.empty())
        return std::nullopt;
    time_point const at = version_history_.superseded_at(*target, copy);
    if (at == never)
        return std::nullopt;
    return superseded_copy{copy, newest_version(*target), at,
                           version_history_.newest_learned_at(*target)};
}

/// A version of a model's weights is recorded separately from adapter versions,
/// and requests never name it. Workers keep the weights that they loaded until
/// they load the model again, so that all of them would reject requests that
/// name the new version.
void service_scheduler::on_release(model_target const& target,
                                   adapter_version version,
                                   time_point learned_at)
{
    if (target.adapter.empty())
    {
        weights_version& newest = declared_weights_[target.model];
        newest = std::max(newest, weights_version(version.value()));
        return;
    }
    if (!version_history_.declare(
            target,
            {version, learned_at, learned_at + settings_.release_grace}))
        return;
    for (auto& [id, worker] : workers_)
        worker->adapters.mark_outdated(target, version);
    for (auto& [ticket, sent] : sent_)
        if (sent.target == target && sent.copy_version < version)
            limit_start(sent, learned_at);
}

void service_scheduler::limit_start(sent_item& sent, time_point learned_at)
{
    if (learned_at == never || sent.begun || sent.by_peer || !sent.streams)
        return;
    sent.start_deadline =
        std::min(sent.start_deadline, learned_at + settings_.release_begin);
    next_start_deadline_ = std::min(next_start_deadline_, sent.start_deadline);
}

/// Withdraws sent streams that have not started by their deadline. A request
/// that was sent to a superseded copy in time may wait longer than expected at
/// a silent or full worker, and would then start on the old version after the
/// bound.
void service_scheduler::withdraw_overdue(time_point now)
{
    if (now < next_start_deadline_)
        return;
    next_start_deadline_ = never;
    for (auto& [ticket, sent] : sent_)
    {
        if (sent.begun || sent.start_deadline == never)
            continue;
        if (sent.start_deadline > now)
        {
            next_start_deadline_ =
                std::min(next_start_deadline_, sent.start_deadline);
            continue;
        }
        sent.start_deadline = never;
        actions_.push_back(withdraw_request{ticket});
    }
}

} // namespace mulberry
