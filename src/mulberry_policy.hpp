/// The default routing policy: selects the worker with the lowest estimated
/// cost, in seconds of waiting.
#ifndef MULBERRY_MULBERRY_POLICY_HPP
#define MULBERRY_MULBERRY_POLICY_HPP

#include "adapter_demand.hpp"
#include "fill_order.hpp"
#include "placement.hpp"
#include "routing_policy.hpp"
#include "worker_ring.hpp"

#include <set>
#include <unordered_map>

namespace mulberry
{

/// Estimates a cost for each of a few candidate workers. The cost sums the
/// queueing delay for a batch slot, the delay of loading the adapter (cold
/// start), the expected delay of reloading the evicted adapter, and a penalty
/// for spreading requests over more workers than their batches need. The
/// deployment's stall weight (0 to 1) sets how much adapter loads count against
/// batch use. See docs/POLICY.md. Thread safety: none.
class mulberry_policy : public routing_policy
{
public:
    std::optional<worker_id> choose_worker(model_request const& request,
                                           cluster_view const& view,
                                           std::set<worker_id> const& excluded,
                                           time_point now) override;
    std::optional<adapter_ref>
    choose_victim(worker_view const& worker, adapter_ref const& incoming,
                  std::vector<resident_view> const& candidates,
                  time_point now) override;
    std::optional<std::size_t>
    choose_next(worker_view const& worker,
                std::vector<waiting_request> const& eligible,
                time_point now) override;
    std::vector<adapter_ref> adapters_to_preload(worker_view const& worker,
                                                 cluster_view const& view,
                                                 time_point now) override;
    void observe(model_request const& request, time_point now) override;
    void configure(declaration const& configuration) override;

private:
    /// Value of keeping the adapter loaded on this worker: its request rate
    /// divided by its number of copies, strongly reduced for copies beyond
    /// copies_needed(). Adapters declared ready on the worker rank above all
    /// others.
    double retention_value(worker_view const& worker,
                           adapter_ref const& adapter, time_point now) const;
    /// Copies that an adapter with that rate (requests per second) needs for
    /// its running requests; fractional.
    double copies_needed(double rate, time_point now) const;
    bool declared_ready(worker_id const& worker,
                        adapter_ref const& adapter) const;
    /// The lowest retention value among the evictable residents; 0 if a slot is
    /// free, nullopt if no resident is evictable.
    std::optional<double> lowest_retention_value(worker_view const& worker,
                                                 time_point now) const;
    /// Total cost of sending the request to the worker, in seconds.
    double cost(model_request const& request, worker_view const& worker,
                cluster_view const& view, time_point now) const;
    /// Cost of loading one more adapter on the worker, in seconds.
    double load_cost(worker_view const& worker, cluster_view const& view,
                     time_point now) const;
    /// Weight of a load's delay relative to the delay for a batch slot.
    double load_weight(cluster_view const& view) const;
    /// Penalty in seconds for using a worker late in the fill order.
    double opening_cost(worker_view const& worker) const;
    /// The adapters declared ready for the worker that are not resident.
    std::vector<adapter_ref>
    missing_ready_adapters(worker_view const& worker) const;
    /// The most requested adapter whose home is the worker and that no worker
    /// holds. Empty while requests wait for loads on any worker, or if the
    /// demand does not justify a load.
    std::vector<adapter_ref> preload_by_demand(worker_view const& worker,
                                               cluster_view const& view,
                                               time_point now) const;

    double stall_weight_ = 0.5;
    /// Duration of one load while the store runs its concurrent loads.
    double load_seconds_ = 0.5;
    std::size_t store_concurrency_ = 4;
    worker_ring ring_;
    adapter_demand demand_;
    std::unordered_map<adapter_ref, std::size_t> copy_counts_;
    fill_order fill_order_;
    std::unordered_map<worker_id, std::set<adapter_ref>> declared_ready_;
    ready_placement ready_placement_;
    /// For each worker the recently requested adapters whose first home is the
    /// worker; at most max_preload_candidates each.
    std::unordered_map<worker_id, std::set<adapter_ref>> preload_candidates_;
};

} // namespace mulberry

#endif
