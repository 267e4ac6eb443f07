/// Checks the eight invariants of "What must always hold" on the history of a
/// run.
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

/// In the order of "What must always hold". `service` is added: requests are
/// answered again after the faults and leaving VMs exit, which the eight
/// invariants presuppose.
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

/// Records what callers, backends and VMs observe and checks every invariant.
class core_invariants
{
public:
    mulberry_test::history seen;

    /// Records that a VM left and exited by itself with this many open
    /// requests.
    void ended(vm_id const& vm, std::size_t open_requests);
    /// Records that an operator received the confirmation of a version.
    void confirmed(config_version version, time_point now);
    /// Records that a VM accepts new work under the version `in_force`. `bound`
    /// is how long after a confirmation an older version may stay in force.
    void check_admitted_version(vm_id const& vm, config_version in_force,
                                time_point now, duration bound);
    /// Records a violation of invariant::service.
    void report_service_failure(std::string text);

    /// All violations so far.
    std::vector<invariant_violation> check() const;

private:
    std::vector<invariant_violation> found_;
    std::map<config_version, time_point> confirmed_at_;
    std::map<vm_id, config_version> highest_versions_;
};

std::string to_string(std::vector<invariant_violation> const& all);

} // namespace mulberry::tests

#endif
