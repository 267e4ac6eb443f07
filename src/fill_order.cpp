#include "fill_order.hpp"

#include "placement.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Time constant of the exponential smoothing. Longer than an answer takes, so
/// that single answers do not change how many workers are in use.
constexpr double smoothing_seconds = 20;

} // namespace

void fill_order::configure(declaration const& configuration)
{
    std::vector<std::pair<std::uint64_t, worker_id>> order;
    batch_slots_.clear();
    positions_.clear();
    for (auto const& [id, worker] : configuration.workers)
    {
        order.emplace_back(stable_hash(id.str()), id);
        double& slots = batch_slots_[worker.base_model];
        slots = std::max(slots, static_cast<double>(worker.batch_slots));
    }
    std::sort(order.begin(), order.end());
    std::unordered_map<base_model_id, std::size_t> placed;
    for (auto const& [hash, id] : order)
    {
        auto const& model = configuration.workers.at(id).base_model;
        positions_.emplace(id, position{model, placed[model]++});
    }
}

void fill_order::record_in_progress(base_model_id const& model,
                                    std::size_t in_progress, time_point now)
{
    auto const slots = batch_slots_.find(model);
    if (slots == batch_slots_.end() || slots->second <= 0)
        return;
    load& model_load = loads_[model];
    double const elapsed = seconds(now - model_load.updated_at).count();
    double const decay = std::exp(-elapsed / smoothing_seconds);
    double const batches = static_cast<double>(in_progress) / slots->second;
    model_load.batches = model_load.batches * decay + batches * (1 - decay);
    model_load.updated_at = now;
}

double fill_order::smoothed_batches(base_model_id const& model) const
{
    auto const at = loads_.find(model);
    return at == loads_.end() ? 0 : at->second.batches;
}

double fill_order::total_smoothed_batches() const
{
    double sum = 0;
    for (auto const& [model, model_load] : loads_)
        sum += model_load.batches;
    return sum;
}

double fill_order::relative_position(worker_id const& worker,
                                     double share) const
{
    auto const at = positions_.find(worker);
    if (at == positions_.end())
        return 0;
    double const open_workers =
        std::max(1.0, std::ceil(smoothed_batches(at->second.model) / share));
    return static_cast<double>(at->second.index) / open_workers;
}

} // namespace mulberry
