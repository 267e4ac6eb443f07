/// Which worker serves a request, what is evicted, what is loaded ahead.
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

/// A request that waits at a worker, as the queue order sees it.
struct waiting_request
{
    request_id id;
    adapter_ref adapter;
    int priority = default_priority;
    time_point arrived{};
    time_point deadline = never;
};

/// Behaviour that varies: the policy in use and the baselines beside it.
/// Deterministic for one seed and one sequence of calls. Thread safety: none;
/// owned by the decision core.
class routing_policy
{
public:
    virtual ~routing_policy() = default;

    /// The worker for a request, or none when no usable worker has the base
    /// model. `excluded` are workers that this request failed at.
    virtual std::optional<worker_id> choose(model_request const& request,
                                            cluster_view const& view,
                                            std::set<worker_id> const& excluded,
                                            time_point now) = 0;

    /// Which resident makes room for `incoming` among those that may go;
    /// none to wait instead. `candidates` is not empty.
    virtual std::optional<adapter_ref>
    victim(worker_view const& worker, adapter_ref const& incoming,
           std::vector<resident_view> const& candidates, time_point now) = 0;

    /// The next of the waiting to be sent or, where `loadable` is asked, to
    /// have its adapter loaded; none to wait. `eligible` is not empty and in
    /// order of arrival.
    virtual std::optional<std::size_t>
    next(worker_view const& worker,
         std::vector<waiting_request> const& eligible, time_point now) = 0;

    /// Adapters that this worker should load now although nobody waits for
    /// them here, best first.
    virtual std::vector<adapter_ref>
    adapters_to_preload(worker_view const& worker, cluster_view const& view,
                        time_point now) = 0;

    /// Tells the policy of a request's arrival, for demand and copies.
    virtual void observe(model_request const& request, time_point now) = 0;
    /// A new configuration is in force.
    virtual void configure(declaration const& configuration) = 0;
};

/// The names that `make_policy` knows: `mulberry`, `least_loaded_lru`,
/// `consistent_hash`, `random`.
std::vector<std::string_view> policy_names();

/// Precondition: the name is one of policy_names().
std::unique_ptr<routing_policy> make_policy(std::string_view name,
                                            std::uint64_t seed);

} // namespace mulberry

#endif
