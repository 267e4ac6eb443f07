/// Fixed order in which a base model's workers are filled with requests.
#ifndef MULBERRY_FILL_ORDER_HPP
#define MULBERRY_FILL_ORDER_HPP

#include "declaration.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <unordered_map>

namespace mulberry
{

/// Packs requests into batches by filling the workers in an order that is the
/// same on every VM. The order is fixed, so that the same workers stay in use
/// and keep their loaded adapters when load changes. Thread safety: none.
class fill_order
{
public:
    void configure(declaration const& configuration);
    /// Updates the smoothed load of a base model with the current number of
    /// requests in progress on its workers. Does nothing if no worker serves
    /// the base model.
    void record_in_progress(base_model_id const& model, std::size_t in_progress,
                            time_point now);
    /// Smoothed number of requests in progress, divided by the largest number
    /// of batch slots of a worker of the base model.
    double smoothed_batches(base_model_id const& model) const;
    /// The sum of smoothed_batches() over all base models.
    double total_smoothed_batches() const;

    /// The worker's index in the fill order, divided by the number of workers
    /// that hold the requests in progress when each worker's batch is filled
    /// to `share` (0 to 1). 0 for the first worker, below 1 for a worker that
    /// is needed. 0 for an unknown worker.
    double relative_position(worker_id const& worker, double share) const;

private:
    struct load
    {
        double batches = 0;
        time_point updated_at{};
    };
    struct position
    {
        base_model_id model;
        std::size_t index = 0;
    };
    std::unordered_map<base_model_id, load> loads_;
    std::unordered_map<base_model_id, double> batch_slots_;
    std::unordered_map<worker_id, position> positions_;
};

} // namespace mulberry

#endif
