/// Settings of a VM that relays requests on a platform.
#ifndef MULBERRY_RELAY_SETTINGS_HPP
#define MULBERRY_RELAY_SETTINGS_HPP

#include "allotment_limiter.hpp"
#include "crash_record.hpp"
#include "objective_scheduling.hpp"
#include "retry_allowance.hpp"
#include "settings.hpp"
#include "team_directory.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

/// Settings of one VM. Port 0 lets the kernel choose the port. Durations appear
/// only here; the running program stores the deadlines computed from them.
/// Immutable once loaded.
struct relay_settings
{
    vm_id vm;
    domain_id domain;
    listen_address callers;
    /// Where the load balancer polls whether this VM accepts connections.
    listen_address readiness;
    /// Where other VMs request grants for the workers that this VM owns.
    listen_address peers;
    /// Local IP address of connections to workers and other VMs; empty: any.
    std::string source_address;
    /// Where metrics are served; used if `serves_metrics`.
    listen_address metrics;
    bool serves_metrics = false;
    std::string store_url;

    /// Minimum time between orders of two VMs to one worker.
    duration order_gap = std::chrono::milliseconds(3000);
    /// Within this time, a new version of an adapter takes effect.
    duration release_bound = std::chrono::milliseconds(5000);
    /// Within this time, a worker that leaves gets no more requests.
    duration drain_bound = std::chrono::milliseconds(2000);
    /// How often workers renew their entries in the registry; 0 if unknown.
    duration worker_heartbeat{};
    /// How long a VM goes by the versions of their software that workers were
    /// listed with; the same at all VMs.
    duration software_validity = std::chrono::milliseconds(3000);
    /// Within this time, a new configuration takes effect.
    duration configuration_bound = std::chrono::milliseconds(2000);
    /// How long knowledge of the teams' keys may be used.
    key_bounds keys;
    /// How the teams' allotments are distributed among VMs.
    allotment_terms allotments;
    /// Which services are scheduled by the objectives of their routes.
    objective_mode objectives = objective_mode::automatic;
    /// Time from the stop signal until the process is killed.
    duration stop_bound = std::chrono::seconds(8);
    retry_limits retries;
    /// When a request that crashes workers is quarantined.
    crash_limits crashes;

    /// Processor cores that this VM has (may be a fraction). The VMs with the
    /// most own workers and read the store for the others.
    double processor_share = 1;
    /// Memory of this VM in megabytes; a process that uses more is killed.
    /// 0: not known, and what is held for callers has no total bound.
    double memory_mb = 0;
    /// The part of it that may be held for callers, in megabytes; 0: three
    /// eighths.
    double caller_memory_mb = 0;
    std::size_t max_connections = 4096;
    std::string log_level = "info";
    std::string log_format = "json";
    /// Maximum log lines per second, for routine and for notable lines each.
    double log_lines_per_second = 40;

    friend bool operator==(relay_settings const&,
                           relay_settings const&) = default;
};

/// Parses settings from JSON with comments. Returns every fault found; `file`
/// names the source in the faults.
std::variant<relay_settings, std::vector<text_fault>>
parse_relay_settings(std::string_view text, std::string const& file);

} // namespace mulberry

#endif
