/// One VM's view of all workers: exact for the workers that the VM owns,
/// eventually consistent (from peers' hints) for all others.
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
    /// An unload has been decided and is not confirmed yet: no request is
    /// routed to the adapter.
    evicting
};

/// An adapter that occupies one of a worker's adapter slots.
struct resident_view
{
    adapter_ref adapter;
    resident_state state = resident_state::ready;
    /// Requests sent to the engine that have not ended.
    std::size_t in_flight = 0;
    /// Requests for this adapter that wait at the worker's owner.
    std::size_t queued = 0;
    /// Must not be evicted even when no request of the current owner uses the
    /// adapter: a previous owner may still have requests that use it.
    bool pinned_by_previous_owner = false;
    time_point last_used{};
    friend bool operator==(resident_view const&,
                           resident_view const&) = default;
};

/// Snapshot of a worker's state at `as_of`.
struct worker_view
{
    worker_id id;
    base_model_id base_model;
    domain_id domain;
    /// Empty when no VM is known to own the worker.
    vm_id owner;
    /// Whether the owner can reach the worker and accepts new work for it.
    bool usable = true;
    /// Whether the owner can give unload orders, for which it needs the table.
    bool can_evict = true;
    std::size_t batch_slots = 8;
    std::size_t adapter_slots = 4;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::vector<resident_view> residents;
    /// Keys of the prompt prefixes that the worker has probably cached,
    /// estimated from the requests sent to the worker.
    std::set<std::uint64_t> cached_prefixes;
    time_point as_of{};

    /// Null if the adapter occupies no slot.
    resident_view const* find(adapter_ref const& adapter) const;
    /// Running and queued requests divided by the batch slots. A batch slot is
    /// free while this is below 1.
    double load() const;
    /// Number of requests that wait at this worker for their adapter to load.
    std::size_t stalled() const;
    /// Whether an adapter that is not resident can be loaded, now or once
    /// requests in progress have ended: an adapter slot is free, or a resident
    /// adapter can be evicted.
    bool can_accept_adapter() const;
};

/// All workers, indexed by adapter and by load so that a routing decision does
/// not scan every worker. Returned pointers stay valid until the worker is
/// removed. Thread safety: none; owned by the decision core.
class cluster_view
{
public:
    cluster_view();
    ~cluster_view();
    cluster_view(cluster_view&&) noexcept;
    cluster_view& operator=(cluster_view&&) noexcept;

    /// Adds or replaces a worker's view. O(residents * log workers).
    void put(worker_view view);
    /// Removes a worker; does nothing if the worker is unknown.
    void remove(worker_id const& id);
    /// Excludes the worker from routing until the next put(), for example
    /// because its owner cannot be reached. Does nothing if the worker is
    /// unknown. O(residents * log workers).
    void set_unusable(worker_id const& id);
    /// Records a request that this VM sent to the worker, so that a stale view
    /// still counts the request as queued. With `sent_at` given, the record is
    /// kept until a put() whose as_of is not earlier than `sent_at`; without
    /// `sent_at`, until the next put(). `prefix_key` 0 means no prefix. Does
    /// nothing if the worker is unknown. O(residents * log workers).
    void add_sent(worker_id const& id, adapter_ref const& adapter,
                  std::uint64_t prefix_key, time_point sent_at = {});

    /// Null if the worker is unknown.
    worker_view const* find(worker_id const& id) const;
    std::size_t size() const;
    /// The usable workers where the adapter is ready or loading, least loaded
    /// first.
    std::vector<worker_view const*> holders(adapter_ref const& adapter) const;
    /// At most `max_count` usable workers of a base model, least loaded first.
    std::vector<worker_view const*> least_loaded(base_model_id const& model,
                                                 std::size_t max_count) const;
    /// At most `max_count` usable workers of a base model that have a free
    /// batch slot, most loaded first. O(log workers + max_count).
    std::vector<worker_view const*>
    fullest_with_room(base_model_id const& model, std::size_t max_count) const;
    /// The first `max_count` of holders(). O(log copies + max_count).
    std::vector<worker_view const*>
    least_loaded_holders(adapter_ref const& adapter,
                         std::size_t max_count) const;
    /// At most `max_count` of the holders() that have a free batch slot, most
    /// loaded first. O(log copies + max_count).
    std::vector<worker_view const*>
    fullest_holders_with_room(adapter_ref const& adapter,
                              std::size_t max_count) const;
    std::size_t holder_count(adapter_ref const& adapter) const;
    /// Requests running or queued on a base model's usable workers.
    std::size_t in_progress(base_model_id const& model) const;
    /// Requests on all usable workers that wait for their adapter to load: an
    /// estimate of the weight store's queue length.
    std::size_t stalled() const;
    /// Every worker, ordered by id. O(workers * log workers): for status and
    /// planning, not for each request.
    std::vector<worker_view const*> all() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace mulberry

#endif
