#include "core_invariants.hpp"

#include <algorithm>
#include <utility>

namespace mulberry::tests
{
namespace
{

using mulberry_test::violation_kind;

invariant invariant_of(violation_kind kind)
{
    switch (kind)
    {
    case violation_kind::wrong_adapter:
        return invariant::exact_adapter;
    case violation_kind::evicted_in_flight:
        return invariant::not_evicted_in_flight;
    case violation_kind::foreign_answer:
    case violation_kind::answer_not_whole:
    case violation_kind::final_answers:
        return invariant::complete_own_answer;
    case violation_kind::untrue_ran:
        return invariant::not_run_is_true;
    case violation_kind::ran_twice:
        return invariant::at_most_once;
    case violation_kind::work_while_leaving:
        return invariant::leaving_takes_no_work;
    }
    return invariant::service;
}

std::string text_of(config_version version)
{
    return std::to_string(version.value());
}

} // namespace

void core_invariants::ended(vm_id const& vm, std::size_t open_requests)
{
    if (open_requests > 0)
        found_.push_back({invariant::shutdown_interrupts_nothing,
                          vm.str() + " ended with " +
                              std::to_string(open_requests) +
                              " requests in progress"});
}

void core_invariants::confirmed(config_version version, time_point now)
{
    confirmed_at_.emplace(version, now);
}

void core_invariants::check_admitted_version(vm_id const& vm,
                                             config_version in_force,
                                             time_point now, duration bound)
{
    config_version& highest = highest_versions_[vm];
    if (in_force < highest)
        found_.push_back({invariant::configuration_holds,
                          vm.str() + " went back from version " +
                              text_of(highest) + " to " + text_of(in_force)});
    highest = std::max(highest, in_force);
    for (auto const& [version, confirmed_at] : confirmed_at_)
        if (version > in_force && now > confirmed_at + bound)
            found_.push_back({invariant::configuration_holds,
                              vm.str() + " takes work under version " +
                                  text_of(in_force) + " after " +
                                  text_of(version) + " was confirmed"});
}

void core_invariants::report_service_failure(std::string text)
{
    found_.push_back({invariant::service, std::move(text)});
}

std::vector<invariant_violation> core_invariants::check() const
{
    std::vector<invariant_violation> all = found_;
    for (mulberry_test::violation const& each : seen.check())
        all.push_back({invariant_of(each.kind), each.text});
    return all;
}

std::string to_string(std::vector<invariant_violation> const& all)
{
    std::string text;
    for (invariant_violation const& each : all)
        text += "invariant " +
                std::to_string(static_cast<int>(each.which) + 1) + ": " +
                each.text + "\n";
    return text;
}

} // namespace mulberry::tests
