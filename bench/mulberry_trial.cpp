/// Trials of the relay's decisions: the product's schedulers before modelled
/// engines, in virtual time. See docs/POLICY.md.
#include "allotment_fleet.hpp"
#include "trial_plan.hpp"
#include "trial_report.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace
{

namespace options = boost::program_options;
using namespace mulberry;

constexpr int status_failed = 1;
constexpr int status_usage = 2;

char const* const usage =
    "mulberry-trial run PLAN [--seeds N] [--first-seed S] [--json FILE]\n"
    "mulberry-trial compare BEFORE.json AFTER.json\n"
    "mulberry-trial allotments [--vms N] [--seeds N] [--first-seed S]\n"
    "mulberry-trial limits     [--vms N] [--seeds N] [--first-seed S]\n\n"
    "run plays the plan once for each seed; compare gives what the same seeds\n"
    "differ by, with an interval that covers 95 in 100; allotments compares\n"
    "the ways of keeping teams' allotments under each trouble, and limits\n"
    "those of keeping workers' limits.\n";

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<trial_result> read_results(std::string const& path)
{
    std::istringstream lines(read_file(path));
    std::vector<trial_result> results;
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number)
    {
        auto const result = parse_json_line(line);
        if (!result)
            throw std::runtime_error(
                fmt::format("{}:{}: no result of a trial", path, number));
        results.push_back(*result);
    }
    return results;
}

int run(options::variables_map const& given,
        std::vector<std::string> const& files)
{
    if (files.size() != 1)
        throw options::error("run takes one plan");
    auto const parsed =
        parse_trial_plan(read_file(files.front()), files.front());
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
    {
        for (text_fault const& each : *faults)
            std::cerr << each.str() << "\n";
        return status_failed;
    }
    auto const& plan = std::get<trial_plan>(parsed);
    std::ofstream json;
    if (given.count("json") > 0)
    {
        json.open(given["json"].as<std::string>());
        if (!json)
            throw std::runtime_error("cannot write the results");
    }
    auto const first = given["first-seed"].as<std::uint64_t>();
    auto const seeds = given["seeds"].as<std::uint64_t>();
    double worth = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        trial_result const result = play_trial(plan, seed);
        std::cout << to_table(result) << std::endl;
        if (json.is_open())
            json << to_json_line(result) << "\n";
        worth += result.worth / double(seeds);
    }
    std::cout << fmt::format("{}: mean worth {:.4f} over {} seeds\n", plan.name,
                             worth, seeds);
    return 0;
}

int compare_files(std::vector<std::string> const& files)
{
    if (files.size() != 2)
        throw options::error("compare takes two files of results");
    auto const differences =
        compare(read_results(files[0]), read_results(files[1]));
    if (differences.empty())
    {
        std::cerr << "the files have fewer than two seeds in common\n";
        return status_failed;
    }
    std::cout << fmt::format("{:24} {:>12} {:>12} {:>12} {:>10}\n", "",
                             "before", "after", "difference", "+-");
    for (difference const& each : differences)
        std::cout << fmt::format(
            "{:24} {:>12.4f} {:>12.4f} {:>12.4f} {:>10.4f}\n", each.of,
            each.before, each.after, each.mean, each.half_width);
    return 0;
}

/// The worst of the windows and the means of the rest over the seeds.
allotment_result play_allotments(allotment_plan plan, allotment_way way,
                                 std::uint64_t seeds)
{
    allotment_result all;
    std::uint64_t const first = plan.seed;
    for (plan.seed = first; plan.seed < first + seeds; ++plan.seed)
    {
        allotment_result const one = allotment_fleet(plan, way).play();
        all.worst_window = std::max(all.worst_window, one.worst_window);
        all.least_used = plan.seed == first
                             ? one.least_used
                             : std::min(all.least_used, one.least_used);
        all.refused_below += one.refused_below / double(seeds);
        all.refused_of_usual += one.refused_of_usual / double(seeds);
        all.hot_used += one.hot_used / double(seeds);
        all.refused_in_trouble += one.refused_in_trouble / double(seeds);
        all.messages_per_vm_second +=
            one.messages_per_vm_second / double(seeds);
        all.bytes_per_vm_second += one.bytes_per_vm_second / double(seeds);
        all.follows_in = std::max(all.follows_in, one.follows_in);
    }
    return all;
}

/// Compares the ways of keeping workers' limits.
int compare_limits(options::variables_map const& given)
{
    std::size_t const vms = given["vms"].as<std::size_t>();
    std::cout << fmt::format("{} VMs\n{:16} {:14} {:>8} {:>7} {:>12} {:>10} "
                             "{:>9}\n",
                             vms, "trouble", "way", "limit", "one VM",
                             "worst window", "least used", "msg/VM/s");
    for (allotment_trouble const trouble :
         {allotment_trouble::none, allotment_trouble::cut,
          allotment_trouble::pool_lost, allotment_trouble::herd_killed})
        for (double const per_second : {1.0, 2.8, 6.5, 40.0})
            for (bool const one_vm : {false, true})
                for (allotment_way const way :
                     {allotment_way::equal, allotment_way::counters,
                      allotment_way::pooled})
                {
                    allotment_plan plan =
                        plan_of_limits(vms, {per_second, 3, one_vm});
                    plan.trouble = trouble;
                    plan.seed = given["first-seed"].as<std::uint64_t>();
                    allotment_result const seen = play_allotments(
                        plan, way, given["seeds"].as<std::uint64_t>());
                    std::cout << fmt::format(
                        "{:16} {:14} {:8.1f} {:>7} {:12.3f} {:10.3f} "
                        "{:9.2f}\n",
                        to_string(trouble), to_string(way), per_second,
                        one_vm ? "yes" : "no", seen.worst_window,
                        seen.least_used, seen.messages_per_vm_second);
                }
    return 0;
}

int compare_allotments(options::variables_map const& given)
{
    allotment_plan plan;
    plan.vms = given["vms"].as<std::size_t>();
    plan.seed = given["first-seed"].as<std::uint64_t>();
    // The same callers a VM at each size.
    plan.callers = plan.vms * 5 / 2;
    plan.largest_use *= double(plan.vms) / double(allotment_plan().vms);
    std::cout << fmt::format("{} VMs\n{:16} {:14} {:>12} {:>13} {:>9} {:>9} "
                             "{:>11} "
                             "{:>9} {:>10} {:>8}\n",
                             plan.vms, "trouble", "way", "worst window",
                             "refused below", "of usual", "hot used",
                             "in trouble", "msg/VM/s", "bytes/VM/s", "follows");
    for (allotment_trouble const trouble :
         {allotment_trouble::none, allotment_trouble::cut,
          allotment_trouble::pool_lost, allotment_trouble::herd_killed,
          allotment_trouble::lowered})
        for (allotment_way const way :
             {allotment_way::equal, allotment_way::counters,
              allotment_way::pooled})
        {
            plan.trouble = trouble;
            allotment_result const seen =
                play_allotments(plan, way, given["seeds"].as<std::uint64_t>());
            std::cout
                << fmt::format(
                       "{:16} {:14} {:12.3f} {:13.4f} {:9.4f} {:9.3f} "
                       "{:11.4f} {:9.2f} "
                       "{:10.0f} {:8.1f}\n",
                       to_string(trouble), to_string(way), seen.worst_window,
                       seen.refused_below, seen.refused_of_usual, seen.hot_used,
                       seen.refused_in_trouble, seen.messages_per_vm_second,
                       seen.bytes_per_vm_second,
                       std::chrono::duration<double>(seen.follows_in).count())
                << std::flush;
        }
    return 0;
}

int run_verb(int count, char** arguments)
{
    options::options_description described("options");
    described.add_options()("help", "this text")(
        "seeds", options::value<std::uint64_t>()->default_value(1),
        "how many seeds are played")(
        "first-seed", options::value<std::uint64_t>()->default_value(1),
        "the first of them")(
        "vms", options::value<std::size_t>()->default_value(74),
        "how many VMs share allotments")("json", options::value<std::string>(),
                                         "a file for the results, one a line")(
        "words", options::value<std::vector<std::string>>(), "");
    options::positional_options_description words;
    words.add("words", -1);
    options::variables_map given;
    options::store(options::command_line_parser(count, arguments)
                       .options(described)
                       .positional(words)
                       .run(),
                   given);
    options::notify(given);
    std::vector<std::string> named;
    if (given.count("words") > 0)
        named = given["words"].as<std::vector<std::string>>();
    if (given.count("help") > 0 || named.empty())
    {
        std::cout << usage;
        return given.count("help") > 0 ? 0 : status_usage;
    }
    std::string const verb = named.front();
    named.erase(named.begin());
    if (verb == "run")
        return run(given, named);
    if (verb == "allotments")
        return compare_allotments(given);
    if (verb == "limits")
        return compare_limits(given);
    if (verb == "compare")
        return compare_files(named);
    throw options::error("no verb is named " + verb);
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return run_verb(count, arguments);
    }
    catch (options::error const& wrong)
    {
        std::cerr << wrong.what() << "\n\n" << usage;
        return status_usage;
    }
    catch (std::exception const& wrong)
    {
        std::cerr << wrong.what() << "\n";
        return status_failed;
    }
}
