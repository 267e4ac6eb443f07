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
enum class promise
{
    exact_adapter,
    not_evicted_in_flight,
    whole_own_answer,
    not_run_is_true,
    at_most_once,
    leaving_takes_no_work,
    shutdown_interrupts_nothing,
    configuration_holds,
    service
};

struct broken_promise
{
    promise which;
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
    void would_take_work(vm_id const& vm, config_version in_force,
                         time_point now, duration bound);
    void not_in_service(std::string text);

    std::vector<broken_promise> check() const;

private:
    std::vector<broken_promise> found_;
    std::map<config_version, time_point> told_;
    std::map<vm_id, config_version> highest_;
};

std::string to_string(std::vector<broken_promise> const& all);

} // namespace mulberry::tests

#endif
