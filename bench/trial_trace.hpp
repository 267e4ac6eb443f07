/// Today's two deployments and the seeded traces replayed against them.
#ifndef MULBERRY_TRIAL_TRACE_HPP
#define MULBERRY_TRIAL_TRACE_HPP

#include "declaration.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// A deployment's sizes. Workers, adapters and the store's limits are those of
/// the brief; the rest are assumptions, given in docs/POLICY.md.
struct deployment_size
{
    std::string name;
    std::string service;
    std::size_t workers = 0;
    std::size_t adapters = 3000;
    std::size_t batch_slots = 8;
    std::size_t adapter_slots = 8;
    store_declaration store;
    double stall_weight = 0.5;
    /// Offered requests' service time as a share of all batch slots.
    double offered_load = 0.6;
    double zipf_exponent = 1.2;
};

/// `trust` or `chia-deu`. Precondition: one of them.
deployment_size deployment_named(std::string_view name);
declaration declaration_of(deployment_size const& size);
adapter_ref adapter_numbered(std::size_t number);

struct trace_request
{
    time_point at{};
    std::size_t adapter = 0;
    std::size_t tokens = 0;
    std::uint64_t prefix_key = 0;
};

/// What happens to engines and store; times of 0 mean never.
struct trace_faults
{
    std::vector<time_point> restarts;
    time_point loads_fail_from{};
    time_point loads_fail_until{};
    double failing_share = 0;
    time_point slow_from{};
    time_point slow_until{};
    double slow_factor = 1;
    time_point down_from{};
    time_point down_until{};
};

struct trial_trace
{
    std::string name;
    std::vector<trace_request> requests;
    trace_faults faults;
    /// Measured from here on; before, caches and estimates fill.
    time_point measured_from{};
    /// The last arrival; what is in progress is then served to its end.
    time_point end{};
};

/// Time that one answer takes in a batch slot.
duration service_time(std::size_t tokens, bool prefix_cached);

std::vector<std::string> trace_names();
/// The same trace for the same arguments. Precondition: a known name.
trial_trace make_trace(deployment_size const& size, std::string_view name,
                       std::uint64_t seed);

} // namespace mulberry

#endif
