/// The eight lines of "What must always hold", checked over a run's history.
#ifndef MULBERRY_TESTS_CORE_PROMISES_HPP
#define MULBERRY_TESTS_CORE_PROMISES_HPP

#include "history.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <map>
#include <string>
#include <vector>

namespace mulberry::tests
{

/// In the brief's order; `service` is that requests are answered again and
/// that leaving VMs end, which the eight lines rest on.
enum class invariant
{
    exact_adapter,
    not_evicted_in_flight,
    complete_own_answer,
    not_run_is_true,
    at_most_once,
    leaving_takes_no_work,
    shutdown_interrupts_nothing,
    configuration_holds,
    service
};

struct invariant_violation
{
    invariant which;
    std::string text;
};

/// What callers, back ends and VMs saw, with a check for each line.
class core_invariants
{
public:
    mulberry_test::history seen;

    /// A VM ended by itself, having left, with that many requests open.
    void ended(vm_id const& vm, std::size_t open_requests);
    /// An operator was told that the version is confirmed.
    void confirmed(config_version version, time_point now);
    /// A VM would take new work under that version. `bound`: how long after
    /// the operator was told an older one may be in force.
    void check_admitted_version(vm_id const& vm, config_version in_force,
                                time_point now, duration bound);
    void report_service_failure(std::string text);

    std::vector<invariant_violation> check() const;

private:
    std::vector<invariant_violation> found_;
    std::map<config_version, time_point> confirmed_at_;
    std::map<vm_id, config_version> highest_versions_;
};

std::string to_string(std::vector<invariant_violation> const& all);

} // namespace mulberry::tests

#endif
