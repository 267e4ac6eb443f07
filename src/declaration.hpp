/// What operators declare, as immutable values: the confirmed configuration.
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
    std::size_t batch_slots = 8;
    std::size_t adapter_slots = 4;
    /// Whether the engine refuses orders with an old fencing number.
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

/// An adapter version that is to be loaded before requests ask for it.
struct ready_declaration
{
    application_id application;
    adapter_ref adapter;
    std::size_t copies = 1;
    friend bool operator==(ready_declaration const&,
                           ready_declaration const&) = default;
};

/// A rule for calls of a plain service; the first that matches decides.
struct call_rule
{
    /// Empty: any method.
    std::string method;
    std::string path_prefix;
    /// Whether a call may run more than once without harm.
    bool repeatable = false;
    friend bool operator==(call_rule const&, call_rule const&) = default;
};

struct service_worker_declaration
{
    service_worker_id id;
    domain_id domain;
    std::string url;
    friend bool operator==(service_worker_declaration const&,
                           service_worker_declaration const&) = default;
};

struct service_declaration
{
    service_id id;
    std::vector<service_worker_declaration> workers;
    std::vector<call_rule> rules;
    /// GET and HEAD are repeatable unless a rule says otherwise; other methods
    /// are not.
    bool repeatable(std::string const& method, std::string const& path) const;
    friend bool operator==(service_declaration const&,
                           service_declaration const&) = default;
};

enum class target_measure
{
    /// Share of requests whose whole answer came within the bound.
    answered_within,
    /// Share of requests that waited for their adapter to load.
    stall_share,
    /// Batch efficiency of the workers that served it.
    batch_efficiency
};

/// A quarterly target of one application.
struct target_declaration
{
    application_id application;
    target_measure measure = target_measure::answered_within;
    /// For answered_within: the bound on the whole answer.
    duration bound{};
    /// The share, 0 to 1: at least this for answered_within and
    /// batch_efficiency, at most this for stall_share.
    double share = 0;
    friend bool operator==(target_declaration const&,
                           target_declaration const&) = default;
};

/// The weight store's limits, shared by all VMs of a deployment.
struct store_declaration
{
    double loads_per_second = 9;
    std::size_t loads_at_once = 4;
    friend bool operator==(store_declaration const&,
                           store_declaration const&) = default;
};

/// A deployment's whole declaration. Immutable once loaded. Thread safety:
/// shared by const reference.
struct declaration
{
    std::string deployment;
    /// How load stalls weigh against batch efficiency, 0 (only efficiency
    /// counts) to 1 (only stalls count).
    double stall_weight = 0.5;
    store_declaration store;
    std::map<worker_id, worker_declaration> workers;
    std::map<adapter_id, adapter_declaration> adapters;
    std::vector<ready_declaration> ready;
    std::map<service_id, service_declaration> services;
    std::vector<target_declaration> targets;

    /// The adapter, if that version of it may be asked for.
    adapter_declaration const* find(adapter_ref const& ref) const;

    friend bool operator==(declaration const&, declaration const&) = default;
};

} // namespace mulberry

#endif
