/// What a trial of the scheduler plays: a deployment and its load, read from a
/// commented JSON file.
#ifndef MULBERRY_TRIAL_PLAN_HPP
#define MULBERRY_TRIAL_PLAN_HPP

#include "declaration_text.hpp"
#include "engine_model.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

/// Log-normal around a mean. Value.
struct token_count
{
    double mean = 1;
    /// Standard deviation of the logarithm; 0 for always the mean.
    double spread = 0;
    double most = 1e9;
    friend bool operator==(token_count const&, token_count const&) = default;
};

/// Value.
struct request_kind
{
    std::string name;
    double a_second = 1;
    duration objective = std::chrono::seconds(1);
    duration deadline = std::chrono::seconds(5);
    int priority = 0;
    /// What an answer is worth to its caller in time, and late.
    double worth = 1;
    double late_worth = 0.3;
    bool resumable = false;
    token_count own_prompt;
    token_count shared_prompt;
    std::size_t shared_prompts = 1;
    token_count answer;
    friend bool operator==(request_kind const&, request_kind const&) = default;
};

enum class disturbance_kind
{
    /// More requests of a kind, or of all.
    burst,
    /// Workers are down and come back empty.
    crash,
    /// Other adapters become the ones that are asked for most.
    popularity
};

/// Value.
struct disturbance
{
    disturbance_kind kind = disturbance_kind::burst;
    duration at{};
    duration length{};
    /// Of a burst; empty for all.
    std::string of;
    double times = 1;
    /// Of the workers that crash.
    double share = 0;
    friend bool operator==(disturbance const&, disturbance const&) = default;
};

/// Immutable once read.
struct trial_plan
{
    std::string name;
    std::size_t domains = 1;
    std::size_t vms = 6;
    /// VMs that own workers, the first of them.
    std::size_t owners = 6;
    std::size_t workers = 12;
    std::size_t adapters = 3000;
    /// Exponent of the adapters' popularity.
    double zipf = 1.2;
    duration length = std::chrono::seconds(30);
    /// See service_scheduler::schedule_by_objective().
    bool by_objective = false;
    engine_settings engine;
    std::vector<request_kind> kinds;
    std::vector<disturbance> disturbances;
    friend bool operator==(trial_plan const&, trial_plan const&) = default;
};

/// Reads a plan; lists every fault.
std::variant<trial_plan, std::vector<text_fault>>
parse_trial_plan(std::string_view text, std::string const& file);

} // namespace mulberry

#endif
