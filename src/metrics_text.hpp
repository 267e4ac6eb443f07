/// A VM's status as Prometheus text and as JSON.
#ifndef MULBERRY_METRICS_TEXT_HPP
#define MULBERRY_METRICS_TEXT_HPP

#include "vm_core.hpp"

#include <json/value.h>

#include <string>

namespace mulberry
{

std::string metrics_text(core_status const& status);

/// One element of `status`'s `vms` (see PROTOCOLS.md, "Towards operators").
Json::Value status_json(core_status const& status);

/// Where the quarter's targets stand (see PROTOCOLS.md, `targets`).
Json::Value targets_json(core_status const& status);

/// The two measures over all workers of this VM, past ones among them.
struct measures
{
    double stall_share = 0;
    double stall_seconds = 0;
    double batch_efficiency = 0;
};
measures measures_of(core_status const& status);

} // namespace mulberry

#endif
