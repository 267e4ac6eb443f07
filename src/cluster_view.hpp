/// What one VM knows of all workers: its own exactly, others from hints.
#ifndef MULBERRY_CLUSTER_VIEW_HPP
#define MULBERRY_CLUSTER_VIEW_HPP

#include "adapter_ref.hpp"
#include "declaration.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace mulberry
{

enum class resident_state
{
    loading,
    ready,
    /// The intent to unload it is open: nothing is routed to it.
    evicting
};

/// An adapter in a worker's slot.
struct resident_view
{
    adapter_ref adapter;
    resident_state state = resident_state::ready;
    std::size_t in_flight = 0;
    std::size_t queued = 0;
    /// Pinned beyond its own requests: an earlier owner may still use it.
    bool suspected = false;
    time_point last_used{};
    friend bool operator==(resident_view const&,
                           resident_view const&) = default;
};

/// A worker at a moment. Value.
struct worker_view
{
    worker_id id;
    base_model_id base_model;
    domain_id domain;
    /// Empty when nobody is known to own it.
    vm_id owner;
    /// Whether its owner can reach it and takes new work for it.
    bool usable = true;
    /// Whether its owner can give unload orders; without the table it cannot.
    bool evicts = true;
    std::size_t batch_slots = 8;
    std::size_t adapter_slots = 4;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::vector<resident_view> residents;
    /// Prefix keys believed cached, from what was sent there.
    std::set<std::uint64_t> cached_prefixes;
    time_point as_of{};

    resident_view const* find(adapter_ref const& adapter) const;
    /// Running and queued requests as a share of the batch slots: below 1
    /// there is batch room.
    double load() const;
    /// Requests that wait here for their adapter to load.
    std::size_t stalled() const;
    /// Whether an adapter that is not here can be loaded, now or once requests
    /// in progress have ended: a slot is free, or an adapter can leave one.
    bool takes_in() const;
};

/// All workers, indexed by adapter and by load so that a decision need not
/// look at each of them. Thread safety: none; owned by the decision core.
class cluster_view
{
public:
    cluster_view();
    ~cluster_view();
    cluster_view(cluster_view&&) noexcept;
    cluster_view& operator=(cluster_view&&) noexcept;

    /// Adds or replaces a worker's view. O(residents * log workers).
    void put(worker_view view);
    /// Forgets a worker.
    void remove(worker_id const& id);
    /// Notes a request sent there since the view's as_of, so that a lagging
    /// view is corrected by what this VM sent itself. With `sent_at` given the
    /// note outlives every put() whose as_of is earlier; without it, it holds
    /// until the next put(). O(residents * log workers).
    void add_sent(worker_id const& id, adapter_ref const& adapter,
                  std::uint64_t prefix_key, time_point sent_at = {});

    worker_view const* find(worker_id const& id) const;
    std::size_t size() const;
    /// The usable workers where the adapter is ready or loading.
    std::vector<worker_view const*> holders(adapter_ref const& adapter) const;
    /// The usable workers of a base model, least loaded first; at most `most`.
    std::vector<worker_view const*> least_loaded(base_model_id const& model,
                                                 std::size_t most) const;
    /// The usable workers of a base model that have batch room, fullest first;
    /// at most `most`. O(log workers + most).
    std::vector<worker_view const*>
    fullest_with_room(base_model_id const& model, std::size_t most) const;
    /// As holders(), least loaded first, at most `most`; and the fullest of
    /// those that have batch room. O(log copies + most).
    std::vector<worker_view const*>
    least_loaded_holders(adapter_ref const& adapter, std::size_t most) const;
    std::vector<worker_view const*>
    fullest_holders_with_room(adapter_ref const& adapter,
                              std::size_t most) const;
    std::size_t holder_count(adapter_ref const& adapter) const;
    /// Requests running or queued on a base model's usable workers.
    std::size_t in_progress(base_model_id const& model) const;
    /// Requests that wait for their adapter's load on all usable workers: how
    /// long the weight store's queue is.
    std::size_t stalled() const;
    /// Every worker, in the order of ids. Linear; for status and planning.
    std::vector<worker_view const*> all() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
