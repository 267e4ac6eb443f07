/// A plan states what the confirmation of a declaration would change and
/// whether the deployment has the capacity for it.
#ifndef MULBERRY_PLAN_HPP
#define MULBERRY_PLAN_HPP

#include "declaration.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// The adapters that each worker has loaded when the plan is made.
using residency = std::map<worker_id, std::set<adapter_ref>>;

/// One difference between two declarations.
struct plan_change
{
    enum class kind
    {
        added,
        removed,
        changed
    };
    kind what = kind::changed;
    /// The path in the declaration: `adapters.shift-notes-0042.versions`.
    std::string key;
    /// The value as text; empty if there is none on that side.
    std::string before;
    std::string after;
    friend bool operator==(plan_change const&, plan_change const&) = default;
};

/// An adapter and the worker that has to load or evict it.
struct planned_load
{
    worker_id worker;
    adapter_ref adapter;
    friend bool operator==(planned_load const&, planned_load const&) = default;
};

/// Immutable value.
struct plan
{
    /// The confirmed version that the plan is based on; 0 when no declaration
    /// has been confirmed.
    config_version base;
    /// SHA-256 of the canonical text of the planned declaration, in
    /// hexadecimal.
    std::string digest;
    std::vector<plan_change> changes;
    std::vector<planned_load> loads;
    /// Resident adapters that would have to be evicted; adapters or versions
    /// that the planned declaration does not contain come first.
    std::vector<planned_load> evictions;
    /// The time that the loads take, from the weight store's rate and its limit
    /// of concurrent loads; 0 when there are no loads.
    duration time_to_ready{};
    /// Reasons why the plan cannot be confirmed; empty when it can.
    std::vector<std::string> obstacles;

    bool feasible() const { return obstacles.empty(); }
    friend bool operator==(plan const&, plan const&) = default;
};

/// Computes the plan that leads from `current`, confirmed as version `base`, to
/// `wanted`. `load_time` is the time that one load takes at the store's full
/// speed. The daemon uses the same placement of ready adapters (see
/// placement.hpp). Pure. Thread safety: any thread.
plan make_plan(declaration const& current, config_version base,
               declaration const& wanted, residency const& loaded,
               duration load_time);

/// The plan as text for operators; long lists and values are truncated.
std::string describe(plan const& value);
/// The plan as JSON; long lists are truncated, their counts are not.
std::string plan_json(plan const& value);

} // namespace mulberry

#endif
