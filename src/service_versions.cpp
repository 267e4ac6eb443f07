// Which versions of adapters and weights requests may begin on; see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>

namespace mulberry
{

adapter_version service_scheduler::newest_of(model_target const& target) const
{
    return releases_.newest(target);
}

/// Declared, or listed by a worker that loaded it before this VM heard.
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

/// Where no version of the adapter was declared there is only the first.
served_versions service_scheduler::versions_at(worker_state const& worker,
                                               model_target const& target) const
{
    served_versions known;
    known.weights = weights_of(worker.entry, target.model);
    if (target.adapter.empty())
        return known;
    known.adapter = believed_version(worker, target);
    if (newest_of(target) == adapter_version())
        known.adapter = std::max(known.adapter, adapter_version(1));
    return known;
}

/// Failure: a copy is believed to be newer than it is, after orders whose
/// answers were lost or came late, and a request begins on the old version long
/// after the new one was declared. Whatever is believed here, the worker
/// compares the version itself and refuses a request that names another.
adapter_version
service_scheduler::required_version(std::optional<model_target> const& target,
                                    adapter_version copy, time_point now) const
{
    if (!target)
        return {};
    adapter_version const newest = newest_of(*target);
    if (newest != adapter_version() && copy >= newest)
        return copy;
    adapter_version const oldest = releases_.oldest_allowed(*target, now);
    if (oldest == adapter_version())
        return {};
    return copy >= oldest ? copy : newest;
}

std::optional<replaced_copy>
service_scheduler::replaced(std::optional<model_target> const& target,
                            adapter_version copy) const
{
    if (!target || target->adapter.empty())
        return std::nullopt;
    time_point const at = releases_.superseded_at(*target, copy);
    if (at == never)
        return std::nullopt;
    return replaced_copy{copy, newest_of(*target), at,
                         releases_.newest_learned_at(*target)};
}

/// Failure: a version of a model's weights counts as an adapter's. Every worker
/// keeps the weights that it loaded, so that none serves a request which names
/// the new version, and callers of the model itself are turned away. Weights
/// come into use as workers load the model; no request waits for them.
void service_scheduler::on_release(model_target const& target,
                                   adapter_version version, time_point heard_at)
{
    if (target.adapter.empty())
    {
        weights_version& newest = declared_weights_[target.model];
        newest = std::max(newest, weights_version(version.value()));
        return;
    }
    if (!releases_.declare(
            target, {version, heard_at, heard_at + settings_.release_grace}))
        return;
    for (auto& [id, worker] : workers_)
        worker->adapters.mark_outdated(target, version);
    for (auto& [ticket, sent] : sent_)
        if (sent.target == target && sent.copy < version)
            limit_begin(sent, heard_at);
}

void service_scheduler::limit_begin(sent_item& sent, time_point heard_at)
{
    if (heard_at == never || sent.begun || sent.by_peer || !sent.streams)
        return;
    sent.begin_by = std::min(sent.begin_by, heard_at + settings_.release_begin);
    begin_by_ = std::min(begin_by_, sent.begin_by);
}

/// Failure: a request is sent to an old copy in time, or before the new version
/// was heard of, and waits at a worker that is silent or full for longer than
/// was expected; it begins on the old version after the bound.
void service_scheduler::withdraw_unbegun(time_point now)
{
    if (now < begin_by_)
        return;
    begin_by_ = never;
    for (auto& [ticket, sent] : sent_)
    {
        if (sent.begun || sent.begin_by == never)
            continue;
        if (sent.begin_by > now)
        {
            begin_by_ = std::min(begin_by_, sent.begin_by);
            continue;
        }
        sent.begin_by = never;
        actions_.push_back(withdraw_request{ticket});
    }
}

} // namespace mulberry
