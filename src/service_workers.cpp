// What is known of the workers of a service and of their lives; see
// service_scheduler.hpp.
#include "service_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// By then the entry of a worker that does not write it is gone: it lapses
/// after three heartbeats.
constexpr milliseconds entry_lifetime{5000};
} // namespace

void service_scheduler::set_backends(std::vector<backend_entry> const& entries)
{
    std::set<worker_id> listed;
    for (backend_entry const& entry : entries)
    {
        listed.insert(entry.id);
        if (worker_state* const known = find(entry.id))
            take_listed(*known, entry);
        else
            add_worker(entry);
    }
    std::erase_if(workers_, [&](auto const& each)
                  { return listed.count(each.first) == 0; });
    for (auto& [key, waiting] : queue_)
        if (!waiting.loads_at.empty() && find(waiting.loads_at) == nullptr)
            waiting.loads_at = {};
}

void service_scheduler::add_worker(backend_entry const& entry)
{
    worker_adapters_settings shelf;
    shelf.adapter_slots = config_.engine ? config_.engine->adapter_slots : 0;
    auto const made = workers_.emplace(
        entry.id, std::make_unique<worker_state>(entry, shelf));
    worker_state& added = *made.first->second;
    added.entry.draining |= notices_.is_leaving(entry.id, entry.started);
    remember_listed(added);
}

/// An entry that does not say when the worker started is of the life that is
/// known. One of an earlier life came late and says nothing of this one.
void service_scheduler::take_listed(worker_state& known,
                                    backend_entry const& entry)
{
    worker_start const before = known.entry.started;
    bool const told = entry.started != worker_start();
    if (told && before != worker_start() && entry.started < before)
        return;
    if (told && before != worker_start() && entry.started > before)
        return begin_life(known, entry);
    if (told)
        forget_life_before(known);
    known.entry = entry;
    known.listed_draining = entry.draining;
    if (!told)
        known.entry.started = before;
    known.entry.draining |=
        notices_.is_leaving(known.entry.id, known.entry.started);
    remember_listed(known);
}

void service_scheduler::forget_life_before(worker_state& worker)
{
    worker.held_before.clear();
    worker.entry_lapses_at = never;
}

/// Failure: a worker crashes and starts again under its id. What it held, its
/// count of orders, its health and its queue are believed of it on, so that
/// requests go to copies that are gone and every order conflicts. Nothing of
/// the life before is kept; its owner asks what it holds before the next order.
void service_scheduler::begin_life(worker_state& known,
                                   backend_entry const& entry)
{
    worker_id const id = entry.id;
    bool const owned = known.owned;
    stop_waiting_at(id);
    sightings_.remove_worker(id);
    workers_.erase(id);
    add_worker(entry);
    if (owned && grants_.count(id) > 0)
        set_grants(grants_);
}

void service_scheduler::stop_waiting_at(worker_id const& worker)
{
    for (auto& [key, waiting] : queue_)
        if (waiting.loads_at == worker)
            waiting.loads_at = {};
}

/// Load it answers: more adapters are asked for than slots hold, and each comes
/// and goes. One that is asked for again loads in a tenth of the time where it
/// was before, wherever that was.
void service_scheduler::remember_listed(worker_state& worker)
{
    for (held_model const& held : worker.entry.models)
        for (auto const& [adapter, version] : held.adapters)
            worker.adapters.record_resident({held.model, adapter});
}

void service_scheduler::set_grants(
    std::map<worker_id, order_grant> const& grants)
{
    if (&grants != &grants_)
        grants_ = grants;
    for (auto& [id, worker] : workers_)
    {
        auto const grant = grants.find(id);
        bool const granted = grant != grants.end();
        if (granted)
            worker->adapters.on_ownership_acquired(settings_.vm, grant->second.fence,
                                   grant->second.orders_from);
        else if (worker->adapters.is_owned())
        {
            worker->adapters.on_ownership_lost();
            stop_waiting_at(id);
        }
        worker->owned = granted;
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
        // Its entry in the registry still tells of the life before.
        backend_entry entry = known->entry;
        entry.started = report->started;
        // What the life before said of its leaving is not this one's.
        entry.draining = known->listed_draining;
        std::vector<held_model> held_before = std::exchange(entry.models, {});
        held_before.insert(held_before.end(), known->held_before.begin(),
                           known->held_before.end());
        begin_life(*known, entry);
        worker_state& begun = *find(worker);
        begun.held_before = std::move(held_before);
        begun.entry_lapses_at = now + duration(entry_lifetime);
        return on_report(worker, report, now);
    }
    if (report && report->started != worker_start() && report->started < listed)
        return known->adapters.on_report(std::nullopt, now);
    if (report)
        known->health.on_reached(now);
    known->adapters.on_report(report, now);
    releases_.for_each(
        [known](model_target const& target, declared_version const& declared)
        { known->adapters.mark_outdated(target, declared.version); });
}

/// Failure: a worker starts again where it cannot reach the registry, and loads
/// newer weights while its entry tells of the life before. Other VMs take it
/// for a holder of the weights that it had, and have prompts copied from it
/// that newer ones read. So unless those of its entry are known to be the
/// newest, it loads none before the entry is written anew or has lapsed: from
/// then on a VM whose knowledge is recent knows of the start.
bool service_scheduler::waits_to_be_listed(worker_state const& worker,
                                           time_point now) const
{
    if (now >= worker.entry_lapses_at)
        return false;
    return std::any_of(worker.held_before.begin(), worker.held_before.end(),
                       [this, now](held_model const& held)
                       {
                           return held.weights < newest_weights(held.model) ||
                                  now >= known_as_of_.declarations +
                                             weights_load_time(held.model);
                       });
}

} // namespace mulberry
