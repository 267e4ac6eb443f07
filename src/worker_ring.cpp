#include "worker_ring.hpp"

#include "placement.hpp"

#include <algorithm>
#include <string>

namespace mulberry
{
namespace
{

/// Virtual nodes per worker. With 32, the most loaded of 18 workers is home to
/// about a quarter more adapters than the average.
constexpr int points_per_worker = 32;

} // namespace

worker_ring::worker_ring(declaration const& configuration)
{
    for (auto const& [id, worker] : configuration.workers)
    {
        hash_ring& ring = rings_[worker.base_model];
        auto const worker_index =
            static_cast<std::uint32_t>(ring.workers.size());
        ring.workers.push_back(id);
        for (int i = 0; i < points_per_worker; ++i)
            ring.points.push_back(
                {stable_hash(id.str() + "/" + std::to_string(i)),
                 worker_index});
    }
    for (auto& [model, ring] : rings_)
        std::sort(ring.points.begin(), ring.points.end(),
                  [](point const& left, point const& right)
                  {
                      return std::pair(left.hash, left.worker) <
                             std::pair(right.hash, right.worker);
                  });
}

std::vector<worker_id> worker_ring::homes(base_model_id const& model,
                                          adapter_ref const& adapter,
                                          std::size_t max_count) const
{
    std::vector<worker_id> found;
    auto const at = rings_.find(model);
    if (at == rings_.end())
        return found;
    hash_ring const& ring = at->second;
    max_count = std::min(max_count, ring.workers.size());
    auto const key = stable_hash(adapter.str());
    auto next = std::lower_bound(ring.points.begin(), ring.points.end(), key,
                                 [](point const& left, std::uint64_t right)
                                 { return left.hash < right; });
    while (found.size() < max_count)
    {
        if (next == ring.points.end())
            next = ring.points.begin();
        worker_id const& home = ring.workers[next->worker];
        if (std::find(found.begin(), found.end(), home) == found.end())
            found.push_back(home);
        ++next;
    }
    return found;
}

std::vector<worker_id> const&
worker_ring::workers(base_model_id const& model) const
{
    static std::vector<worker_id> const none;
    auto const at = rings_.find(model);
    return at == rings_.end() ? none : at->second.workers;
}

} // namespace mulberry
