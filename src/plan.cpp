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

/// A ready set that the store needs longer than this for would still be cold
/// when the change it was declared for is over.
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

/// Works out who has to go; an adapter that requests may no longer name is
/// needed least, then one that is not declared ready here.
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
                              { return undeclared(each.adapter); });
        return std::move(evictions_);
    }

private:
    bool undeclared(adapter_ref const& adapter) const
    {
        return wanted_.find(adapter) == nullptr;
    }

    void plan_worker(worker_declaration const& worker)
    {
        auto const placed = placement_.by_worker.find(worker.id);
        if (placed == placement_.by_worker.end())
            return;
        std::set<adapter_ref> const needed(placed->second.begin(),
                                           placed->second.end());
        std::vector<adapter_ref> others;
        std::set_difference(loaded_on(loaded_, worker.id).begin(),
                            loaded_on(loaded_, worker.id).end(), needed.begin(),
                            needed.end(), std::back_inserter(others));
        std::stable_partition(others.begin(), others.end(),
                              [this](adapter_ref const& adapter)
                              { return undeclared(adapter); });
        std::size_t const slots_left =
            worker.adapter_slots -
            std::min(worker.adapter_slots, needed.size());
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

/// The store starts loads_per_second and carries loads_at_once at full speed;
/// whichever is slower sets the pace. Never less than one load takes.
duration time_to_ready(store_declaration const& store, std::size_t loads,
                       duration load_time)
{
    if (loads == 0)
        return duration::zero();
    double pace = store.loads_per_second;
    if (load_time > duration::zero())
        pace = std::min(pace, static_cast<double>(store.loads_at_once) /
                                  seconds(load_time));
    std::chrono::duration<double> const total(static_cast<double>(loads) /
                                              pace);
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

/// The copies left out by adapter, whichever application asks for most.
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
                                      std::size_t loads, duration needed)
{
    std::vector<std::string> obstacles = slots_obstacles(wanted, placement);
    if (needed > max_time_to_ready)
        obstacles.push_back(fmt::format(
            "the weight store needs {:.0f} minutes for {} loads; the most is "
            "{} minutes",
            std::ceil(seconds(needed) / 60), loads, max_time_to_ready.count()));
    return obstacles;
}

} // namespace

plan make_plan(declaration const& current, config_version base,
               declaration const& wanted, residency const& loaded,
               duration load_time)
{
    ready_placement const placement = place_ready(wanted);
    plan made;
    made.base = base;
    made.digest = digest_of(write_declaration(wanted));
    made.changes = diff_declarations(current, wanted);
    made.loads = loads_for(placement, loaded);
    made.evictions = eviction_planner(wanted, placement, loaded).run();
    made.time_to_ready =
        time_to_ready(wanted.store, made.loads.size(), load_time);
    made.obstacles =
        obstacles_of(wanted, placement, made.loads.size(), made.time_to_ready);
    return made;
}

} // namespace mulberry
