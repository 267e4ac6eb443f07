/// Decides whether a service's requests are scheduled by the objectives of
/// their routes.
#ifndef MULBERRY_OBJECTIVE_SCHEDULING_HPP
#define MULBERRY_OBJECTIVE_SCHEDULING_HPP

#include "routing_config.hpp"

#include <optional>
#include <string_view>

namespace mulberry
{

/// The operator's setting.
enum class objective_mode
{
    /// On where ranks_follow_objectives().
    automatic,
    on,
    off
};

/// Returns nullopt unless `name` is "auto", "on" or "off". Thread safety: any.
std::optional<objective_mode> parse_objective_mode(std::string_view name);

/// Whether the routes to an engine service have two ranks or more, and no route
/// has a longer objective than a less urgent one. Otherwise admission by
/// objective would prefer requests that the operator ranked lower. False for a
/// plain or unknown service. Thread safety: any.
bool ranks_follow_objectives(routing_config const& config,
                             service_id const& service);

/// Whether the service's requests are scheduled by objective. False for a plain
/// or unknown service. Thread safety: any.
bool uses_objectives(objective_mode mode, routing_config const& config,
                     service_id const& service);

/// Whether allotments of teams are kept by objective: if any service is
/// scheduled so. Thread safety: any.
bool limits_by_objective(objective_mode mode, routing_config const& config);

/// The shortest objective of the routes to a plain service whose requests are
/// admitted by the delay of its workers' answers; see delay_admission.hpp. That
/// is where any service is scheduled by objective. nullopt for an engine or
/// unknown service, and for one without routes. Thread safety: any.
std::optional<duration> delay_objective(objective_mode mode,
                                        routing_config const& config,
                                        service_id const& service);

} // namespace mulberry

#endif
