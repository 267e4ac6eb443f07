/// The experiment tool: policies and baselines over seeded traces.
#include "offline_reference.hpp"
#include "routing_policy.hpp"
#include "svg_plot.hpp"
#include "trial_run.hpp"
#include "trial_trace.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace mulberry;
namespace po = boost::program_options;

struct trial_options
{
    std::string deployment;
    std::string trace;
    std::string policy;
    std::uint64_t seed = 1;
    std::string output;
    bool csv = false;
    double skew = 0;
    double load = 0;
    double stall_weight = -1;
    std::size_t adapter_slots = 0;
};

po::options_description described(trial_options& options)
{
    po::options_description all("policy_trial");
    auto add = all.add_options();
    add("help", "this text");
    add("deployment", po::value(&options.deployment)->default_value("trust"),
        "trust or chia-deu");
    add("trace", po::value(&options.trace)->default_value("all"),
        "a trace's name, or all");
    add("policy", po::value(&options.policy)->default_value("all"),
        "a policy's name, or all");
    add("seed", po::value(&options.seed)->default_value(1), "of the trace");
    add("output", po::value(&options.output), "file for the plot (SVG)");
    add("csv", po::bool_switch(&options.csv), "print comma-separated values");
    add("skew", po::value(&options.skew), "Zipf exponent");
    add("load", po::value(&options.load), "offered share of batch slots");
    add("stall-weight", po::value(&options.stall_weight), "0 to 1");
    add("adapter-slots", po::value(&options.adapter_slots), "a worker");
    return all;
}

bool known(std::vector<std::string> const& names, std::string const& name)
{
    return name == "all" ||
           std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<std::string> policies()
{
    std::vector<std::string> names;
    for (std::string_view const name : policy_names())
        names.emplace_back(name);
    return names;
}

std::string check(trial_options const& options)
{
    if (options.deployment != "trust" && options.deployment != "chia-deu")
        return "unknown deployment " + options.deployment;
    if (!known(trace_names(), options.trace))
        return "unknown trace " + options.trace;
    if (!known(policies(), options.policy))
        return "unknown policy " + options.policy;
    return {};
}

deployment_size size_for(trial_options const& options)
{
    deployment_size size = deployment_named(options.deployment);
    if (options.skew > 0)
        size.zipf_exponent = options.skew;
    if (options.load > 0)
        size.offered_load = options.load;
    if (options.stall_weight >= 0)
        size.stall_weight = options.stall_weight;
    if (options.adapter_slots > 0)
        size.adapter_slots = options.adapter_slots;
    return size;
}

void print_head(bool csv)
{
    if (csv)
        fmt::print("deployment,trace,policy,requests,failed,stall_share,"
                   "stall_seconds,stall_p99,batch_efficiency,answer_p50,"
                   "answer_p99,wait_p99,loads,evictions\n");
    else
        fmt::print("{:<13}{:<17}{:>8}{:>7}{:>9}{:>10}{:>9}{:>9}{:>8}{:>8}{:>9}"
                   "{:>7}\n",
                   "trace", "policy", "requests", "failed", "stalled",
                   "stall s", "p99 st.", "effic.", "p50 s", "p99 s", "p99 wait",
                   "loads");
}

void print_row(deployment_size const& size, std::string const& trace,
               trial_result const& one, bool csv)
{
    if (csv)
        fmt::print("{},{},{},{},{},{:.5f},{:.3f},{:.3f},{:.4f},{:.3f},{:.3f},"
                   "{:.3f},{},{}\n",
                   size.name, trace, one.policy, one.requests, one.failed,
                   one.stall_share, one.stall_seconds, one.stall_p99,
                   one.batch_efficiency, one.answer_p50, one.answer_p99,
                   one.wait_p99, one.loads, one.evictions);
    else
        fmt::print("{:<13}{:<17}{:>8}{:>7}{:>8.2f}%{:>10.1f}{:>9.2f}{:>9.3f}"
                   "{:>8.2f}{:>8.2f}{:>9.2f}{:>7}\n",
                   trace, one.policy, one.requests, one.failed,
                   100 * one.stall_share, one.stall_seconds, one.stall_p99,
                   one.batch_efficiency, one.answer_p50, one.answer_p99,
                   one.wait_p99, one.loads);
}

std::vector<trial_result> run_all(deployment_size const& size,
                                  trial_trace const& trace,
                                  trial_options const& options)
{
    std::vector<trial_result> results;
    for (std::string const& name : policies())
        if (options.policy == "all" || options.policy == name)
            results.push_back(run_trial(size, trace, name, options.seed));
    results.push_back(offline_reference(size, trace));
    return results;
}

plot_panel stalls_against_efficiency(std::string const& trace,
                                     std::vector<trial_result> const& results)
{
    plot_panel panel;
    panel.title = trace + ": load stalls against batch efficiency";
    panel.x_label = "stall seconds a request (mean, logarithmic)";
    panel.log_x = true;
    panel.y_label = "batch efficiency";
    for (trial_result const& one : results)
        panel.series.push_back(
            {one.policy,
             {{one.stall_seconds / static_cast<double>(one.requests),
               one.batch_efficiency}},
             false});
    return panel;
}

plot_panel answers_over_time(std::string const& trace,
                             std::vector<trial_result> const& results)
{
    plot_panel panel;
    panel.title = trace + ": p99 of whole answers, by arrival";
    panel.x_label = "seconds from the start of measurement";
    panel.y_label = "seconds";
    for (trial_result const& one : results)
    {
        plot_series series{one.policy, {}, true};
        for (std::size_t i = 0; i < one.answer_p99_by_bucket.size(); ++i)
            series.points.emplace_back((static_cast<double>(i) + 0.5) *
                                           trial_bucket_seconds,
                                       one.answer_p99_by_bucket[i]);
        if (!series.points.empty())
            panel.series.push_back(std::move(series));
    }
    return panel;
}

int run(trial_options const& options)
{
    deployment_size const size = size_for(options);
    std::vector<plot_panel> panels;
    print_head(options.csv);
    for (std::string const& name : trace_names())
    {
        if (options.trace != "all" && options.trace != name)
            continue;
        trial_trace const trace = make_trace(size, name, options.seed);
        auto const results = run_all(size, trace, options);
        for (trial_result const& one : results)
            print_row(size, name, one, options.csv);
        panels.push_back(stalls_against_efficiency(name, results));
        panels.push_back(answers_over_time(name, results));
    }
    if (options.output.empty())
        return 0;
    std::ofstream file(options.output);
    file << svg_plot(panels);
    return file.good() ? 0 : 1;
}

} // namespace

int main(int argument_count, char** arguments)
{
    trial_options options;
    auto const all = described(options);
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argument_count, arguments, all),
                  values);
        po::notify(values);
        if (values.contains("help"))
        {
            std::cout << all;
            return 0;
        }
    }
    catch (std::exception const& fault)
    {
        std::cerr << fault.what() << '\n' << all;
        return 2;
    }
    std::string const fault = check(options);
    if (!fault.empty())
    {
        std::cerr << fault << '\n';
        return 2;
    }
    return run(options);
}
