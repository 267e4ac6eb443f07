/// The declaration of a deployment by its operators; once confirmed, the
/// declaration is the configuration of all VMs.
#ifndef MULBERRY_DECLARATION_HPP
#define MULBERRY_DECLARATION_HPP

#include "adapter_ref.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// One worker of a model engine.
struct worker_declaration
{
    worker_id id;
    base_model_id base_model;
    domain_id domain;
    /// Base URL, http://IP:PORT/...
    std::string url;
    /// Requests that the engine can process at the same time.
    std::size_t batch_slots = 8;
    /// Adapters that the engine can keep loaded at the same time.
    std::size_t adapter_slots = 4;
    /// Whether the engine rejects orders with an outdated fencing number.
    bool checks_fence = false;
    friend bool operator==(worker_declaration const&,
                           worker_declaration const&) = default;
};

/// An adapter and the versions of it that requests may name.
struct adapter_declaration
{
    adapter_id id;
    base_model_id base_model;
    std::set<adapter_version> versions;
    std::vector<application_id> applications;
    friend bool operator==(adapter_declaration const&,
                           adapter_declaration const&) = default;
};

/// An adapter version that is loaded before requests name it.
struct ready_declaration
{
    application_id application;
    adapter_ref adapter;
    /// The number of workers that should have the adapter loaded.
    std::size_t copies = 1;
    friend bool operator==(ready_declaration const&,
                           ready_declaration const&) = default;
};

/// A rule that states which calls of a plain service may be repeated. The first
/// rule that matches a call applies.
struct call_rule
{
    /// Empty: any method.
    std::string method;
    /// Matches whole path segments: "/a" matches "/a" and "/a/b", not "/ab".
    std::string path_prefix;
    /// Whether such calls are idempotent, so that they may be sent again.
    bool repeatable = false;
    friend bool operator==(call_rule const&, call_rule const&) = default;
};

/// One worker of a plain service.
struct service_worker_declaration
{
    service_worker_id id;
    domain_id domain;
    /// Base URL, http://IP:PORT/...
    std::string url;
    friend bool operator==(service_worker_declaration const&,
                           service_worker_declaration const&) = default;
};

/// A plain service, its workers and the rules for its calls.
struct service_declaration
{
    service_id id;
    std::vector<service_worker_declaration> workers;
    std::vector<call_rule> rules;
    /// Whether a call may be sent again after a try whose outcome is unknown.
    /// Without a matching rule, GET and HEAD are repeatable and other methods
    /// are not. A path that the service could read as another path (dot
    /// segments, needless escapes, empty segments, backslashes) is never
    /// repeatable.
    bool repeatable(std::string const& method, std::string const& path) const;
    friend bool operator==(service_declaration const&,
                           service_declaration const&) = default;
};

/// What a quarterly target measures; all are shares of 0 to 1.
enum class target_measure
{
    /// Share of requests whose answer was complete within the bound.
    answered_within,
    /// Share of requests that waited for their adapter to load.
    stall_share,
    /// Batch efficiency of the workers that served the application.
    batch_efficiency
};

/// A quarterly target of one application.
struct target_declaration
{
    application_id application;
    target_measure measure = target_measure::answered_within;
    /// For answered_within: the time within which the answer must be
    /// complete.
    duration bound{};
    /// The target, 0 to 1: a minimum for answered_within and batch_efficiency,
    /// a maximum for stall_share.
    double share = 0;
    friend bool operator==(target_declaration const&,
                           target_declaration const&) = default;
};

/// The weight store's limits, shared by all VMs of a deployment.
struct store_declaration
{
    double loads_per_second = 9;
    /// Concurrent loads that the store serves at full speed.
    std::size_t loads_at_once = 4;
    friend bool operator==(store_declaration const&,
                           store_declaration const&) = default;
};

/// The complete declaration of a deployment. Immutable once loaded. Thread
/// safety: shared by const reference.
struct declaration
{
    std::string deployment;
    /// The weight of load stalls against batch efficiency, from 0 (only batch
    /// efficiency counts) to 1 (only load stalls count).
    double stall_weight = 0.5;
    store_declaration store;
    std::map<worker_id, worker_declaration> workers;
    std::map<adapter_id, adapter_declaration> adapters;
    /// In order of placement: earlier entries are placed first.
    std::vector<ready_declaration> ready;
    std::map<service_id, service_declaration> services;
    std::vector<target_declaration> targets;

    /// The declared adapter, or null if the adapter or its version is not
    /// declared. Valid as long as the declaration.
    adapter_declaration const* find(adapter_ref const& ref) const;

    friend bool operator==(declaration const&, declaration const&) = default;
};

} // namespace mulberry

#endif
