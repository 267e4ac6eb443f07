#include "baseline_policies.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr double max_home_load = 1.25;
constexpr std::size_t max_homes_tried = 8;

/// Null unless the worker is usable, serves the base model and is not
/// excluded.
worker_view const* find_usable(cluster_view const& view, worker_id const& id,
                               base_model_id const& model,
                               std::set<worker_id> const& excluded)
{
    worker_view const* worker = view.find(id);
    if (worker == nullptr || !worker->usable || worker->base_model != model)
        return nullptr;
    return excluded.contains(id) ? nullptr : worker;
}

std::optional<worker_id> least_loaded_of(model_request const& request,
                                         cluster_view const& view,
                                         std::set<worker_id> const& excluded)
{
    for (worker_view const* worker :
         view.least_loaded(request.base_model, excluded.size() + 1))
        if (!excluded.contains(worker->id))
            return worker->id;
    return std::nullopt;
}

} // namespace

std::optional<adapter_ref>
baseline_policy::choose_victim(worker_view const&, adapter_ref const&,
                               std::vector<resident_view> const& candidates,
                               time_point)
{
    auto const oldest = std::min_element(
        candidates.begin(), candidates.end(),
        [](resident_view const& left, resident_view const& right)
        { return left.last_used < right.last_used; });
    return oldest->adapter;
}

std::optional<std::size_t>
baseline_policy::choose_next(worker_view const&,
                             std::vector<waiting_request> const&, time_point)
{
    return 0;
}

std::vector<adapter_ref>
baseline_policy::adapters_to_preload(worker_view const& worker,
                                     cluster_view const&, time_point)
{
    std::vector<adapter_ref> wanted;
    auto const at = ready_placement_.by_worker.find(worker.id);
    if (at == ready_placement_.by_worker.end())
        return wanted;
    std::size_t free = worker.adapter_slots;
    free -= std::min(free, worker.residents.size());
    for (adapter_ref const& adapter : at->second)
        if (wanted.size() < free && worker.find(adapter) == nullptr)
            wanted.push_back(adapter);
    return wanted;
}

void baseline_policy::observe(model_request const&, time_point) {}

void baseline_policy::configure(declaration const& configuration)
{
    ring_ = worker_ring(configuration);
    ready_placement_ = place_ready(configuration);
}

std::optional<worker_id> least_loaded_policy::choose_worker(
    model_request const& request, cluster_view const& view,
    std::set<worker_id> const& excluded, time_point)
{
    return least_loaded_of(request, view, excluded);
}

std::optional<worker_id> consistent_hash_policy::choose_worker(
    model_request const& request, cluster_view const& view,
    std::set<worker_id> const& excluded, time_point)
{
    for (worker_id const& home :
         ring().homes(request.base_model, request.adapter, max_homes_tried))
    {
        worker_view const* worker =
            find_usable(view, home, request.base_model, excluded);
        if (worker != nullptr && worker->load() < max_home_load)
            return home;
    }
    return least_loaded_of(request, view, excluded);
}

std::optional<worker_id>
random_policy::choose_worker(model_request const& request,
                             cluster_view const& view,
                             std::set<worker_id> const& excluded, time_point)
{
    auto const& workers = ring().workers(request.base_model);
    if (workers.empty())
        return least_loaded_of(request, view, excluded);
    std::size_t const start = random_() % workers.size();
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        worker_id const& id = workers[(start + i) % workers.size()];
        if (find_usable(view, id, request.base_model, excluded) != nullptr)
            return id;
    }
    return least_loaded_of(request, view, excluded);
}

std::optional<adapter_ref>
random_policy::choose_victim(worker_view const&, adapter_ref const&,
                             std::vector<resident_view> const& candidates,
                             time_point)
{
    return candidates[random_() % candidates.size()].adapter;
}

} // namespace mulberry
