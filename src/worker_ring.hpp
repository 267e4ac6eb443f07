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

/// Homes of an adapter, the same on every VM with the same configuration.
/// Rendezvous hashing (homes_of) gives the same promise but looks at each
/// worker; a ring answers in the logarithm of the workers, which a decision
/// for each request needs. Immutable. Thread safety: const calls from any
/// thread.
class worker_ring
{
public:
    worker_ring() = default;
    explicit worker_ring(declaration const& configuration);

    /// The best home first, at most `most`, each worker once.
    std::vector<worker_id> homes(base_model_id const& model,
                                 adapter_ref const& adapter,
                                 std::size_t most) const;
    /// The workers of a base model in the order of their ids.
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
