/// Consistent hashing of adapters onto the workers of their base model.
#ifndef MULBERRY_WORKER_RING_HPP
#define MULBERRY_WORKER_RING_HPP

#include "declaration.hpp"
#include "ids.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberry
{

/// Computes an adapter's homes (preferred workers), which are the same on every
/// VM with the same configuration. Rendezvous hashing (homes_of()) has that
/// property too but takes time linear in the workers; a lookup in the ring is
/// logarithmic, as is needed once per request. Immutable. Thread safety: const
/// calls from any thread.
class worker_ring
{
public:
    worker_ring() = default;
    explicit worker_ring(declaration const& configuration);

    /// At most `max_count` distinct workers, the preferred home first. Empty if
    /// no worker serves the base model.
    std::vector<worker_id> homes(base_model_id const& model,
                                 adapter_ref const& adapter,
                                 std::size_t max_count) const;
    /// The workers of a base model, ordered by id.
    std::vector<worker_id> const& workers(base_model_id const& model) const;

private:
    struct point
    {
        std::uint64_t hash = 0;
        std::uint32_t worker = 0;
    };
    struct hash_ring
    {
        std::vector<worker_id> workers;
        std::vector<point> points;
    };
    std::unordered_map<base_model_id, hash_ring> rings_;
};

} // namespace mulberry

#endif
