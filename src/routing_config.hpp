/// The routes and services in force: what the operator declared, as immutable
/// values.
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

/// What may be repeated on a route.
enum class repeat_rule
{
    /// May run more than once.
    idempotent,
    /// May run at most once for each request of the caller.
    once,
    /// A stream of events; runs once unless the route is resumable.
    stream
};

struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
    friend bool operator==(weighted_service const&,
                           weighted_service const&) = default;
};

/// Value.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// One, or several that share the route by weight; never empty.
    std::vector<weighted_service> services;
    repeat_rule repeats = repeat_rule::once;
    /// A stream may go on at another worker after its last whole event.
    bool resumable = false;
    /// The longest that a caller is kept waiting.
    duration timeout = std::chrono::seconds(5);
    /// Within this span an answer is worth its full credit.
    duration latency_objective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// The most workers that one request may run on.
    int worker_limit = 1;
    /// Its requests need no key, where others do.
    bool open_to_all = false;
    friend bool operator==(route const&, route const&) = default;
};

struct base_model
{
    base_model_id name;
    std::size_t adapter_count = 0;
    /// The time that a load of the weights takes at full speed.
    duration load_time = std::chrono::seconds(1);
    friend bool operator==(base_model const&, base_model const&) = default;
};

/// What every worker of a model engine offers.
struct engine_limits
{
    std::size_t batch_slots = 1;
    std::size_t adapter_slots = 0;
    double weight_loads_per_second = 1;
    std::vector<base_model> models;
    friend bool operator==(engine_limits const&,
                           engine_limits const&) = default;
};

struct service_config
{
    service_id name;
    /// The most connections that one worker accepts from all callers.
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
    /// Empty: callers need no keys.
    std::vector<team> teams;
    friend bool operator==(routing_config const&,
                           routing_config const&) = default;
};

} // namespace mulberry

#endif
