#include "core_invariants.hpp"

#include <algorithm>
#include <utility>

namespace mulberry::tests
{
namespace
{

using mulberry_test::violation_kind;

promise broken_by(violation_kind kind)
{
    switch (kind)
    {
    case violation_kind::wrong_adapter:
        return promise::exact_adapter;
    case violation_kind::evicted_in_flight:
        return promise::not_evicted_in_flight;
    case violation_kind::foreign_answer:
    case violation_kind::answer_not_whole:
    case violation_kind::final_answers:
        return promise::whole_own_answer;
    case violation_kind::untrue_ran:
        return promise::not_run_is_true;
    case violation_kind::ran_twice:
        return promise::at_most_once;
    case violation_kind::work_while_leaving:
        return promise::leaving_takes_no_work;
    }
    return promise::service;
}

std::string text_of(config_version version)
{
    return std::to_string(version.value());
}

} // namespace

void core_invariants::ended(vm_id const& vm, std::size_t open_requests)
{
    if (open_requests > 0)
        found_.push_back({promise::shutdown_interrupts_nothing,
                          vm.str() + " ended with " +
                              std::to_string(open_requests) +
                              " requests in progress"});
}

void core_invariants::confirmed(config_version version, time_point now)
{
    told_.emplace(version, now);
}

void core_invariants::would_take_work(vm_id const& vm, config_version in_force,
                                      time_point now, duration bound)
{
    config_version& highest = highest_[vm];
    if (in_force < highest)
        found_.push_back({promise::configuration_holds,
                          vm.str() + " went back from version " +
                              text_of(highest) + " to " + text_of(in_force)});
    highest = std::max(highest, in_force);
    for (auto const& [version, told_at] : told_)
        if (version > in_force && now > told_at + bound)
            found_.push_back({promise::configuration_holds,
                              vm.str() + " takes work under version " +
                                  text_of(in_force) + " after " +
                                  text_of(version) + " was confirmed"});
}

void core_invariants::not_in_service(std::string text)
{
    found_.push_back({promise::service, std::move(text)});
}

std::vector<broken_promise> core_invariants::check() const
{
    std::vector<broken_promise> all = found_;
    for (mulberry_test::violation const& each : seen.check())
        all.push_back({broken_by(each.kind), each.text});
    return all;
}

std::string to_string(std::vector<broken_promise> const& all)
{
    std::string text;
    for (broken_promise const& each : all)
        text += "line " + std::to_string(static_cast<int>(each.which) + 1) +
                ": " + each.text + "\n";
    return text;
}

} // namespace mulberry::tests
