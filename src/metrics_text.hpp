/// Formats a VM's status as Prometheus text and as JSON.
#ifndef MULBERRY_METRICS_TEXT_HPP
#define MULBERRY_METRICS_TEXT_HPP

#include "vm_core.hpp"

#include <json/value.h>

#include <string>

namespace mulberry
{

/// Returns the metrics in the Prometheus text format.
std::string metrics_text(core_status const& status);

/// Returns one element of the array `vms` of `status` (see PROTOCOLS.md,
/// "Towards operators").
Json::Value status_json(core_status const& status);

/// Returns the progress of this quarter's targets (see PROTOCOLS.md,
/// `targets`).
Json::Value targets_json(core_status const& status);

/// Stalls and batch efficiency over all workers of this VM, including workers
/// that it owned earlier. A stall is a request's wait for the load of an
/// adapter.
struct measures
{
    /// Share of the ended requests that stalled; 0 if none has ended.
    double stall_share = 0;
    double stall_seconds = 0;
    /// Ratio of running requests to batch slots, over the time in which at
    /// least one request was running or queued; 0 if there was no such time.
    double batch_efficiency = 0;
};
measures measures_of(core_status const& status);

} // namespace mulberry

#endif
