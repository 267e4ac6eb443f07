/// Routes, services and teams as declared by the operator; immutable values.
#ifndef MULBERRY_ROUTING_CONFIG_HPP
#define MULBERRY_ROUTING_CONFIG_HPP

#include "ids.hpp"
#include "team.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Which retries a route allows.
enum class repeat_rule
{
    /// A request may run more than once.
    idempotent,
    /// Each request of a caller runs at most once.
    once,
    /// The answer is a stream of events; the request runs once unless the route
    /// is resumable.
    stream
};

struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
    friend bool operator==(weighted_service const&,
                           weighted_service const&) = default;
};

/// Requests that match host and path prefix, and how they are handled. Value.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Services that share the route's requests by weight; never empty.
    std::vector<weighted_service> services;
    repeat_rule repeats = repeat_rule::once;
    /// A broken stream may resume at another worker after its last complete
    /// event.
    bool resumable = false;
    /// Longest time that a caller waits for its answer.
    duration timeout = std::chrono::seconds(5);
    /// Target latency: an answer within this time has its full worth to the
    /// caller, a later one less.
    duration latency_objective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of workers that one request may be sent to.
    int worker_limit = 1;
    /// Requests on this route need no API key, even if teams are configured.
    bool allows_anonymous = false;
    friend bool operator==(route const&, route const&) = default;
};

struct base_model
{
    base_model_id name;
    std::size_t adapter_count = 0;
    /// Time to load the weights at full speed.
    duration load_time = std::chrono::seconds(1);
    /// Memory that the weights and one adapter take; 0 if unknown.
    double weights_mb = 0;
    double adapter_mb = 0;
    friend bool operator==(base_model const&, base_model const&) = default;
};

/// Capacity that every worker of a model engine has.
struct engine_limits
{
    std::size_t batch_slots = 1;
    std::size_t adapter_slots = 0;
    /// Memory for weights and adapters together; 0 if unknown.
    double weight_memory_mb = 0;
    /// Tokens that the worker's memory for running requests holds; 0 if
    /// unknown.
    std::uint64_t memory_tokens = 0;
    double weight_loads_per_second = 1;
    std::vector<base_model> models;
    friend bool operator==(engine_limits const&,
                           engine_limits const&) = default;
};

struct service_config
{
    service_id name;
    /// Maximum number of connections that one worker accepts from all callers.
    std::size_t max_connections = 64;
    /// Absent for a plain service.
    std::optional<engine_limits> engine;
    friend bool operator==(service_config const&,
                           service_config const&) = default;
};

/// Immutable once made. Thread safety: const access from any thread.
struct routing_config
{
    config_version version;
    std::vector<route> routes;
    std::map<service_id, service_config> services;
    /// If empty, callers need no API keys.
    std::vector<team> teams;
    friend bool operator==(routing_config const&,
                           routing_config const&) = default;
};

} // namespace mulberry

#endif
