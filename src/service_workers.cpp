// Tracking of a service's workers and their incarnations; see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Upper bound of the time until an entry expires that its worker no longer
/// writes; entries expire after three missed heartbeats.
constexpr milliseconds entry_lifetime{5000};
} // namespace

void service_scheduler::set_backends(std::vector<backend_entry> const& entries)
{
    std::set<worker_id> listed;
    for (backend_entry const& entry : entries)
    {
        listed.insert(entry.id);
        if (worker_state* const known = find(entry.id))
            update_worker(*known, entry);
        else
        {
            auto const unlisted = unlisted_orders_.extract(entry.id);
            add_worker(entry, unlisted.empty() ? unanswered_orders()
                                               : unlisted.mapped());
        }
    }
    keep_unanswered_orders(listed);
    std::erase_if(workers_, [&](auto const& each)
                  { return listed.count(each.first) == 0; });
    for (auto& [key, waiting] : queue_)
        if (!waiting.loading_worker.empty() &&
            find(waiting.loading_worker) == nullptr)
            waiting.loading_worker = {};
}

void service_scheduler::keep_unanswered_orders(
    std::set<worker_id> const& listed)
{
    for (auto& [id, orders] : unlisted_orders_)
        orders.expire(decided_at_);
    std::erase_if(unlisted_orders_,
                  [](auto const& each) { return each.second.empty(); });
    for (auto& [id, worker] : workers_)
        if (listed.count(id) == 0)
            if (auto orders = worker->adapters.take_unanswered();
                !orders.empty())
                unlisted_orders_.emplace(id, std::move(orders));
}

worker_adapters_settings service_scheduler::adapter_settings() const
{
    worker_adapters_settings settings;
    settings.adapter_slots = config_.engine ? config_.engine->adapter_slots : 0;
    if (config_.engine)
    {
        settings.weight_memory_mb = config_.engine->weight_memory_mb;
        settings.models = config_.engine->models;
    }
    return settings;
}

void service_scheduler::add_worker(backend_entry const& entry,
                                   unanswered_orders earlier)
{
    auto const made = workers_.emplace(
        entry.id, std::make_unique<worker_state>(entry, adapter_settings(),
                                                 std::move(earlier)));
    worker_state& added = *made.first->second;
    added.entry.draining |= notices_.is_leaving(entry.id, entry.started);
    record_listed_adapters(added);
    rejections_.on_started(entry.id, decided_at_);
}

/// An entry without a start time belongs to the known incarnation. A late entry
/// of an earlier incarnation is ignored.
void service_scheduler::update_worker(worker_state& known,
                                      backend_entry const& entry)
{
    worker_start const before = known.entry.started;
    bool const has_start = entry.started != worker_start();
    if (has_start && before != worker_start() && entry.started < before)
        return;
    if (has_start && before != worker_start() && entry.started > before)
        return start_incarnation(known, entry);
    if (has_start)
        forget_previous_incarnation(known);
    known.entry = entry;
    known.listed_draining = entry.draining;
    if (!has_start)
        known.entry.started = before;
    known.entry.draining |=
        notices_.is_leaving(known.entry.id, known.entry.started);
    record_listed_adapters(known);
}

void service_scheduler::forget_previous_incarnation(worker_state& worker)
{
    worker.previous_models.clear();
    worker.old_entry_expires_at = never;
}

/// Discards all state of the previous incarnation when a worker restarts under
/// the same id. Kept state (adapters, order sequence, health, queue) would send
/// requests to copies that are gone and make every order conflict. The owner
/// requests a report before the next order.
void service_scheduler::start_incarnation(worker_state& known,
                                          backend_entry const& entry)
{
    worker_id const id = entry.id;
    bool const owned = known.owned;
    time_point const owned_since = known.owned_since;
    clear_load_waits(id);
    adapter_locations_.remove_worker(id);
    unanswered_orders unanswered = known.adapters.take_unanswered();
    workers_.erase(id);
    memory_.reset(id);
    add_worker(entry, std::move(unanswered));
    worker_state& begun = *find(id);
    begun.owned_since = owned_since;
    begun.ordered_earlier =
        owned_since <= decided_at_ - late_order_limits().burst_window;
    if (owned && owned_workers_.count(id) > 0)
        set_owned_workers(owned_workers_);
}

/// Failure: an owner does not know which orders earlier owners left unanswered.
/// They are harmless in the incarnation that they were sent to, since its
/// sequence has passed their numbers, or passes them with the next order.
bool service_scheduler::knows_unanswered_orders(
    worker_state const& worker) const
{
    worker_start const first =
        owned_workers_.at(worker.entry.id).first_incarnation;
    return worker.ordered_earlier || first == worker_start() ||
           first == worker.entry.started;
}

void service_scheduler::clear_load_waits(worker_id const& worker)
{
    for (auto& [key, waiting] : queue_)
        if (waiting.loading_worker == worker)
            waiting.loading_worker = {};
}

/// Records which adapters the worker had, whose copies on disk load in a tenth
/// of the time. This matters when more adapters are in use than there are
/// slots, so that adapters are evicted and loaded again.
void service_scheduler::record_listed_adapters(worker_state& worker)
{
    for (held_model const& held : worker.entry.models)
        for (auto const& [adapter, version] : held.adapters)
            worker.adapters.record_resident({held.model, adapter});
}

void service_scheduler::set_owned_workers(
    std::map<worker_id, owned_worker> const& owned_workers)
{
    if (&owned_workers != &owned_workers_)
        owned_workers_ = owned_workers;
    for (auto& [id, worker] : workers_)
    {
        auto const found = owned_workers.find(id);
        bool const is_owned = found != owned_workers.end();
        if (!is_owned)
            worker->owned_since = never;
        if (is_owned)
            worker->adapters.on_ownership_acquired(
                settings_.vm, found->second.fence, found->second.orders_from,
                knows_unanswered_orders(*worker));
        else if (worker->adapters.is_owned())
        {
            worker->adapters.on_ownership_lost();
            clear_load_waits(id);
        }
        worker->owned = is_owned;
    }
}

void service_scheduler::on_report(worker_id const& worker,
                                  std::optional<worker_report> const& report,
                                  time_point now)
{
    worker_state* const known = find(worker);
    if (known == nullptr)
        return;
    worker_start const listed = known->entry.started;
    if (report && report->started > listed && listed != worker_start())
    {
        // The worker's registry entry still describes the previous incarnation.
        backend_entry entry = known->entry;
        entry.started = report->started;
        // A shutdown announced by the previous incarnation does not apply to
        // the new one.
        entry.draining = known->listed_draining;
        std::vector<held_model> previous_models =
            std::exchange(entry.models, {});
        previous_models.insert(previous_models.end(),
                               known->previous_models.begin(),
                               known->previous_models.end());
        start_incarnation(*known, entry);
        worker_state& begun = *find(worker);
        begun.previous_models = std::move(previous_models);
        begun.old_entry_expires_at = now + duration(entry_lifetime);
        return on_report(worker, report, now);
    }
    if (report && report->started != worker_start() && report->started < listed)
        return known->adapters.on_report(std::nullopt, now);
    if (report)
        known->health.on_reached(now);
    known->adapters.on_report(report, now);
    version_history_.for_each(
        [known](model_target const& target, declared_version const& declared)
        { known->adapters.mark_outdated(target, declared.version); });
}

/// Whether the worker must not load a model until its registry entry is
/// current.
///
/// A worker that restarts without reaching the registry may load newer weights
/// while its entry still describes the previous incarnation. Other VMs would
/// assume the old weights there and have prompt caches copied from the worker
/// that the newer weights made. Unless the weights in the old entry are known
/// to be the newest, the worker therefore loads no model before the entry is
/// rewritten or has expired; VMs with recent registry data then know of the
/// restart.
bool service_scheduler::must_wait_for_entry(worker_state const& worker,
                                            time_point now) const
{
    if (now >= worker.old_entry_expires_at)
        return false;
    return std::any_of(worker.previous_models.begin(),
                       worker.previous_models.end(),
                       [this, now](held_model const& held)
                       {
                           return held.weights < newest_weights(held.model) ||
                                  now >= known_as_of_.declarations +
                                             weights_load_time(held.model);
                       });
}

} // namespace mulberry
