/// Simple routing policies, against which the default policy is compared.
#ifndef MULBERRY_BASELINE_POLICIES_HPP
#define MULBERRY_BASELINE_POLICIES_HPP

#include "placement.hpp"
#include "routing_policy.hpp"
#include "worker_ring.hpp"

#include <random>

namespace mulberry
{

/// Common behaviour of the baseline policies: requests are served in order of
/// arrival, the least recently used adapter is evicted, and only adapters
/// declared ready are preloaded, into free slots. Thread safety: none.
class baseline_policy : public routing_policy
{
public:
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

protected:
    worker_ring const& ring() const { return ring_; }

private:
    worker_ring ring_;
    ready_placement ready_placement_;
};

/// Selects the least loaded worker, wherever the adapter is loaded.
class least_loaded_policy : public baseline_policy
{
public:
    std::optional<worker_id> choose_worker(model_request const& request,
                                           cluster_view const& view,
                                           std::set<worker_id> const& excluded,
                                           time_point now) override;
};

/// Consistent hashing on the adapter with bounded loads: a home whose queue
/// reaches a quarter of its batch slots is skipped in favour of the next; if
/// all homes are skipped, the least loaded worker is selected.
class consistent_hash_policy : public baseline_policy
{
public:
    std::optional<worker_id> choose_worker(model_request const& request,
                                           cluster_view const& view,
                                           std::set<worker_id> const& excluded,
                                           time_point now) override;
};

/// Selects a random worker and evicts a random adapter.
class random_policy : public baseline_policy
{
public:
    explicit random_policy(std::uint64_t seed) : random_(seed) {}

    std::optional<worker_id> choose_worker(model_request const& request,
                                           cluster_view const& view,
                                           std::set<worker_id> const& excluded,
                                           time_point now) override;
    std::optional<adapter_ref>
    choose_victim(worker_view const& worker, adapter_ref const& incoming,
                  std::vector<resident_view> const& candidates,
                  time_point now) override;

private:
    std::mt19937_64 random_;
};

} // namespace mulberry

#endif
