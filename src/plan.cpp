#include "plan.hpp"
#include "declaration_text.hpp"
#include "placement.hpp"
#include "plan_diff.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry
{
namespace
{

/// If the store needs longer than this, the ready adapters would still be cold
/// when the change that they were declared for is over.
constexpr std::chrono::minutes max_time_to_ready{60};

std::set<adapter_ref> const& loaded_on(residency const& loaded,
                                       worker_id const& worker)
{
    static std::set<adapter_ref> const nothing;
    auto const found = loaded.find(worker);
    return found == loaded.end() ? nothing : found->second;
}

std::vector<planned_load> loads_for(ready_placement const& placement,
                                    residency const& loaded)
{
    std::vector<planned_load> loads;
    for (auto const& [worker, adapters] : placement.by_worker)
        for (adapter_ref const& adapter : adapters)
            if (loaded_on(loaded, worker).count(adapter) == 0)
                loads.push_back({worker, adapter});
    return loads;
}

/// Computes the evictions that make slots free for the ready adapters. Adapters
/// that requests may no longer name are evicted first, then other adapters that
/// the placement does not put on the worker.
class eviction_planner
{
public:
    eviction_planner(declaration const& wanted,
                     ready_placement const& placement, residency const& loaded)
        : wanted_(wanted), placement_(placement), loaded_(loaded)
    {
    }

    std::vector<planned_load> run()
    {
        for (auto const& [id, worker] : wanted_.workers)
            plan_worker(worker);
        std::stable_partition(evictions_.begin(), evictions_.end(),
                              [this](planned_load const& each)
                              { return is_undeclared(each.adapter); });
        return std::move(evictions_);
    }

private:
    bool is_undeclared(adapter_ref const& adapter) const
    {
        return wanted_.find(adapter) == nullptr;
    }

    void plan_worker(worker_declaration const& worker)
    {
        auto const placed = placement_.by_worker.find(worker.id);
        if (placed == placement_.by_worker.end())
            return;
        std::set<adapter_ref> const ready_here(placed->second.begin(),
                                               placed->second.end());
        std::vector<adapter_ref> others;
        std::set_difference(loaded_on(loaded_, worker.id).begin(),
                            loaded_on(loaded_, worker.id).end(),
                            ready_here.begin(), ready_here.end(),
                            std::back_inserter(others));
        std::stable_partition(others.begin(), others.end(),
                              [this](adapter_ref const& adapter)
                              { return is_undeclared(adapter); });
        std::size_t const slots_left =
            worker.adapter_slots -
            std::min(worker.adapter_slots, ready_here.size());
        for (std::size_t at = 0; at + slots_left < others.size(); ++at)
            evictions_.push_back({worker.id, others[at]});
    }

    declaration const& wanted_;
    ready_placement const& placement_;
    residency const& loaded_;
    std::vector<planned_load> evictions_;
};

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// The store starts at most loads_per_second loads a second and runs at most
/// loads_at_once at full speed; the lower of the two limits sets the rate. The
/// result is never less than the time of one load.
duration time_to_ready(store_declaration const& store, std::size_t loads,
                       duration load_time)
{
    if (loads == 0)
        return duration::zero();
    double rate = store.loads_per_second;
    if (load_time > duration::zero())
        rate = std::min(rate, static_cast<double>(store.loads_at_once) /
                                  seconds(load_time));
    std::chrono::duration<double> const total(static_cast<double>(loads) /
                                              rate);
    return std::max(load_time, std::chrono::ceil<duration>(total));
}

std::size_t copies_wanted(declaration const& wanted,
                          base_model_id const& base_model)
{
    std::map<adapter_ref, std::size_t> copies;
    for (ready_declaration const& ready : wanted.ready)
    {
        auto const* adapter = wanted.find(ready.adapter);
        if (adapter != nullptr && adapter->base_model == base_model)
            copies[ready.adapter] =
                std::max(copies[ready.adapter], ready.copies);
    }
    std::size_t total = 0;
    for (auto const& [adapter, count] : copies)
        total += count;
    return total;
}

struct model_capacity
{
    std::size_t workers = 0;
    std::size_t slots = 0;
};

model_capacity capacity_of(declaration const& wanted,
                           base_model_id const& base_model)
{
    model_capacity capacity;
    for (auto const& [id, worker] : wanted.workers)
    {
        if (worker.base_model != base_model)
            continue;
        ++capacity.workers;
        capacity.slots += worker.adapter_slots;
    }
    return capacity;
}

std::string slots_obstacle(declaration const& wanted,
                           base_model_id const& base_model,
                           std::size_t unplaced, adapter_ref const& first)
{
    model_capacity const capacity = capacity_of(wanted, base_model);
    return fmt::format(
        "base model {}: {} of {} ready copies fit nowhere (first {}); its {} "
        "workers have {} slots, one of each is kept free, and the copies of "
        "one adapter need different workers",
        base_model.str(), unplaced, copies_wanted(wanted, base_model),
        first.str(), capacity.workers, capacity.slots);
}

/// The number of unplaced copies of each adapter: the maximum over the
/// applications, since applications share copies.
std::map<adapter_ref, std::size_t> missing_copies(ready_placement const& placed)
{
    std::map<adapter_ref, std::size_t> missing;
    for (ready_declaration const& ready : placed.unplaced)
        missing[ready.adapter] = std::max(missing[ready.adapter], ready.copies);
    return missing;
}

std::vector<std::string> slots_obstacles(declaration const& wanted,
                                         ready_placement const& placement)
{
    std::map<base_model_id, std::pair<std::size_t, adapter_ref>> unplaced;
    std::vector<std::string> obstacles;
    for (auto const& [adapter, copies] : missing_copies(placement))
    {
        auto const* declared = wanted.find(adapter);
        if (declared == nullptr)
        {
            obstacles.push_back(
                fmt::format("ready adapter {} is not declared", adapter.str()));
            continue;
        }
        auto const entry =
            unplaced.try_emplace(declared->base_model, 0, adapter).first;
        entry->second.first += copies;
    }
    for (auto const& [base_model, entry] : unplaced)
        obstacles.push_back(
            slots_obstacle(wanted, base_model, entry.first, entry.second));
    return obstacles;
}

std::vector<std::string> obstacles_of(declaration const& wanted,
                                      ready_placement const& placement,
                                      std::size_t loads, duration store_time)
{
    std::vector<std::string> obstacles = slots_obstacles(wanted, placement);
    if (store_time > max_time_to_ready)
        obstacles.push_back(fmt::format(
            "the weight store needs {:.0f} minutes for {} loads; the maximum "
            "is {} minutes",
            std::ceil(seconds(store_time) / 60), loads,
            max_time_to_ready.count()));
    return obstacles;
}

} // namespace

plan make_plan(declaration const& current, config_version base,
               declaration const& wanted, residency const& loaded,
               duration load_time)
{
    ready_placement const placement = place_ready(wanted);
    plan result;
    result.base = base;
    result.digest = digest_of(write_declaration(wanted));
    result.changes = diff_declarations(current, wanted);
    result.loads = loads_for(placement, loaded);
    result.evictions = eviction_planner(wanted, placement, loaded).run();
    result.time_to_ready =
        time_to_ready(wanted.store, result.loads.size(), load_time);
    result.obstacles = obstacles_of(wanted, placement, result.loads.size(),
                                    result.time_to_ready);
    return result;
}

} // namespace mulberry
