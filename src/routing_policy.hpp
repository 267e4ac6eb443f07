/// Interface of routing policies: worker selection, queue order, adapter
/// eviction and preloading.
#ifndef MULBERRY_ROUTING_POLICY_HPP
#define MULBERRY_ROUTING_POLICY_HPP

#include "cluster_view.hpp"
#include "model_request.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace mulberry
{

/// The properties of a queued request that the queue order depends on.
struct waiting_request
{
    request_id id;
    adapter_ref adapter;
    int priority = default_priority;
    time_point arrived{};
    time_point deadline = never;
};

/// Base class of the default policy and the baseline policies. Deterministic:
/// the same seed and the same sequence of calls give the same decisions.
/// Thread safety: none; owned by the decision core.
class routing_policy
{
public:
    virtual ~routing_policy() = default;

    /// Selects the worker for a request; nullopt if no usable worker outside
    /// `excluded` serves the base model. The caller excludes workers at which
    /// the request has failed or would wait in vain.
    virtual std::optional<worker_id>
    choose_worker(model_request const& request, cluster_view const& view,
                  std::set<worker_id> const& excluded, time_point now) = 0;

    /// Selects which of the evictable `candidates` is evicted to free a slot
    /// for `incoming`; nullopt to wait instead. Precondition: `candidates` is
    /// not empty.
    virtual std::optional<adapter_ref>
    choose_victim(worker_view const& worker, adapter_ref const& incoming,
                  std::vector<resident_view> const& candidates,
                  time_point now) = 0;

    /// Selects the next request to send or, if `eligible` holds requests whose
    /// adapter is not loaded, the next to load an adapter for. Returns an
    /// index into `eligible`; nullopt to wait. Precondition: `eligible` is not
    /// empty and in order of arrival.
    virtual std::optional<std::size_t>
    choose_next(worker_view const& worker,
                std::vector<waiting_request> const& eligible,
                time_point now) = 0;

    /// Adapters that this worker should load now although no request waits for
    /// them at the worker, most useful first.
    virtual std::vector<adapter_ref>
    adapters_to_preload(worker_view const& worker, cluster_view const& view,
                        time_point now) = 0;

    /// Records a request's arrival for the demand estimate.
    virtual void observe(model_request const& request, time_point now) = 0;
    /// Applies a configuration; called whenever a new one takes effect.
    virtual void configure(declaration const& configuration) = 0;
};

/// The names that make_policy() accepts: `mulberry`, `least_loaded_lru`,
/// `consistent_hash`, `random`.
std::vector<std::string_view> policy_names();

/// Precondition: `name` is one of policy_names(). Only `random` uses the seed.
std::unique_ptr<routing_policy> make_policy(std::string_view name,
                                            std::uint64_t seed);

} // namespace mulberry

#endif
