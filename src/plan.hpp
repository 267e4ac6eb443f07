/// A plan: what confirming a declaration would change, and whether it fits.
#ifndef MULBERRY_PLAN_HPP
#define MULBERRY_PLAN_HPP

#include "declaration.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// What is loaded where when the plan is made.
using residency = std::map<worker_id, std::set<adapter_ref>>;

/// One change in words and in place.
struct plan_change
{
    enum class kind
    {
        added,
        removed,
        changed
    };
    kind what = kind::changed;
    /// As in a declaration file: `adapters.shift-notes-0042.versions`.
    std::string key;
    std::string before;
    std::string after;
    friend bool operator==(plan_change const&, plan_change const&) = default;
};

struct planned_load
{
    worker_id worker;
    adapter_ref adapter;
    friend bool operator==(planned_load const&, planned_load const&) = default;
};

/// Immutable value.
struct plan
{
    /// The version the plan starts from; 0 when nothing was confirmed yet.
    config_version base;
    /// Digest of the canonical text of the declaration planned.
    std::string digest;
    std::vector<plan_change> changes;
    std::vector<planned_load> loads;
    /// What is resident now and would have to go, least needed first.
    std::vector<planned_load> evictions;
    /// From the store's rate and width; 0 when nothing has to load.
    duration time_to_ready{};
    /// Why it does not fit; empty when it does.
    std::vector<std::string> obstacles;

    bool feasible() const { return obstacles.empty(); }
    friend bool operator==(plan const&, plan const&) = default;
};

/// Works out a plan. Pure; `load_time` is the time that one load takes at the
/// store's full speed. Where a ready adapter goes follows the same placement
/// as the daemon's (see placement.hpp).
plan make_plan(declaration const& current, config_version base,
               declaration const& wanted, residency const& loaded,
               duration load_time);

/// For people.
std::string describe(plan const& value);
/// For programs.
std::string plan_json(plan const& value);

} // namespace mulberry

#endif
