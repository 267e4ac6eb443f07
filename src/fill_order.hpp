/// Which workers of a base model are kept open: the first of a fixed order.
#ifndef MULBERRY_FILL_ORDER_HPP
#define MULBERRY_FILL_ORDER_HPP

#include "declaration.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <unordered_map>

namespace mulberry
{

/// Batches are packed by filling workers in one order that every VM computes
/// alike. The order is fixed, so that the workers that stay open keep the
/// adapters they have, and those that close are always the same. Thread
/// safety: none.
class fill_order
{
public:
    void configure(declaration const& configuration);
    /// Notes how many requests are in progress on a base model's workers.
    void record_in_progress(base_model_id const& model, std::size_t in_progress,
                            time_point now);
    /// In progress, smoothed, in batches of one worker; of one base model and
    /// of all.
    double smoothed_batches(base_model_id const& model) const;
    double total_smoothed_batches() const;

    /// Where a worker stands among those that hold what is in progress when
    /// each is filled to `share`: 0 is the first, below 1 is kept open. 0 for
    /// an unknown worker.
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
