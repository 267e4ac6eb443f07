/// The project's own policy: what a choice costs, in seconds of waiting.
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

/// Weighs, for each of a few candidate workers, the expected wait for batch
/// room, the wait for a load, what the evicted adapter will be missed for and
/// the batch slots that using an idle worker would open. The deployment's
/// stall weight sets how the load side weighs against the batch side. See
/// docs/POLICY.md. Thread safety: none.
class mulberry_policy : public routing_policy
{
public:
    std::optional<worker_id> choose(model_request const& request,
                                    cluster_view const& view,
                                    std::set<worker_id> const& excluded,
                                    time_point now) override;
    std::optional<adapter_ref>
    victim(worker_view const& worker, adapter_ref const& incoming,
           std::vector<resident_view> const& candidates,
           time_point now) override;
    std::optional<std::size_t>
    next(worker_view const& worker,
         std::vector<waiting_request> const& eligible, time_point now) override;
    std::vector<adapter_ref> adapters_to_preload(worker_view const& worker,
                                                 cluster_view const& view,
                                                 time_point now) override;
    void observe(model_request const& request, time_point now) override;
    void configure(declaration const& configuration) override;

private:
    /// What losing this one copy would cost: the adapter's demand, less as
    /// there are more copies of it, next to nothing beyond those it needs.
    double retention_value(worker_view const& worker,
                           adapter_ref const& adapter, time_point now) const;
    /// Copies over which an adapter of that rate spreads what runs of it.
    double copies_needed(double rate, time_point now) const;
    bool declared_ready(worker_id const& worker,
                        adapter_ref const& adapter) const;
    /// The least worth among the residents that may go; 0 when a slot is free,
    /// none when every resident is in use.
    std::optional<double> lowest_retention_value(worker_view const& worker,
                                                 time_point now) const;
    double cost(model_request const& request, worker_view const& worker,
                cluster_view const& view, time_point now) const;
    double load_cost(worker_view const& worker, cluster_view const& view,
                     time_point now) const;
    /// How the load side weighs against waiting for batch room.
    double load_weight(cluster_view const& view) const;
    /// Seconds of waiting that using this worker's batch is worth avoiding.
    double opening_cost(worker_view const& worker) const;
    std::vector<adapter_ref>
    missing_ready_adapters(worker_view const& worker) const;
    std::vector<adapter_ref> preload_by_demand(worker_view const& worker,
                                               cluster_view const& view,
                                               time_point now) const;

    double stall_weight_ = 0.5;
    double load_seconds_ = 0.5;
    std::size_t store_concurrency_ = 4;
    worker_ring ring_;
    adapter_demand demand_;
    std::unordered_map<adapter_ref, std::size_t> copy_counts_;
    fill_order fill_order_;
    std::unordered_map<worker_id, std::set<adapter_ref>> declared_ready_;
    ready_placement ready_placement_;
    /// For each worker the adapters that were lately asked for and call it
    /// home, the candidates for a load ahead; bounded.
    std::unordered_map<worker_id, std::set<adapter_ref>> preload_candidates_;
};

} // namespace mulberry

#endif
