/// The settings of a VM that relays on a platform.
#ifndef MULBERRY_RELAY_SETTINGS_HPP
#define MULBERRY_RELAY_SETTINGS_HPP

#include "allotment_limiter.hpp"
#include "crash_record.hpp"
#include "retry_allowance.hpp"
#include "settings.hpp"
#include "team_directory.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

/// A port of 0 lets the kernel pick. Immutable once loaded. Spans of time stand
/// here as settings only; the running program stores the deadlines made from
/// them.
struct relay_settings
{
    vm_id vm;
    domain_id domain;
    listen_address callers;
    /// Where the balancer asks whether this VM takes connections.
    listen_address readiness;
    /// Where other VMs ask for room at workers that this one orders.
    listen_address peers;
    /// Where metrics are served, if they are.
    listen_address metrics;
    bool serves_metrics = false;
    std::string store_url;

    /// The least time between orders of two VMs to one worker.
    duration order_gap = std::chrono::milliseconds(3000);
    /// How soon a new version of an adapter is in force.
    duration release_bound = std::chrono::milliseconds(5000);
    /// How soon a worker that leaves gets no more requests.
    duration drain_bound = std::chrono::milliseconds(2000);
    /// How soon a configuration is in force.
    duration configuration_bound = std::chrono::milliseconds(2000);
    /// What is known of teams' keys is used no longer than that.
    key_bounds keys;
    /// How teams' allotments are shared out among VMs.
    allotment_terms allotments;
    /// From the signal to stop until the process is killed.
    duration stop_bound = std::chrono::seconds(8);
    retry_limits retries;
    /// When a request under which workers crash is sent to no more of them.
    crash_limits crashes;

    /// The part of a processor core that this VM has: those with the most order
    /// workers and read the store for the others.
    double processor_share = 1;
    std::size_t max_connections = 4096;
    std::string log_level = "info";
    std::string log_format = "json";
    /// Log lines a second, of routine and of notable ones each.
    double log_lines_per_second = 40;

    friend bool operator==(relay_settings const&,
                           relay_settings const&) = default;
};

/// Reads settings from JSON with comments; lists every fault.
std::variant<relay_settings, std::vector<text_fault>>
parse_relay_settings(std::string_view text, std::string const& file);

} // namespace mulberry

#endif
