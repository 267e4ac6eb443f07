/// Sends requests through the layer, or straight to an engine, and says how
/// they fared and what the watched processes used meanwhile.
#include "process_usage.hpp"
#include "traffic.hpp"
#include "traffic_report.hpp"

#include <boost/program_options.hpp>

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace
{

namespace po = boost::program_options;
using namespace mulberry;

po::options_description all_options()
{
    po::options_description options(
        "layer_bench: measures requests through the layer");
    auto add = options.add_options();
    add("help", "show this");
    add("target", po::value<std::vector<std::string>>(),
        "NAME,URL or NAME,URL,ENGINE_NAME; may be repeated, taken in turn");
    add("models", po::value<std::string>(),
        "file with ADAPTER@VERSION, one a line, the most popular first");
    add("model", po::value<std::vector<std::string>>(), "ADAPTER@VERSION");
    add("zipf", po::value<double>()->default_value(0),
        "exponent of the models' popularity; 0: all alike");
    add("rate", po::value<double>()->default_value(0),
        "requests a second; 0: --in-flight at a time");
    add("in-flight", po::value<std::size_t>()->default_value(1),
        "requests at a time, without --rate");
    add("seconds", po::value<double>()->default_value(10), "length");
    add("tokens", po::value<std::size_t>()->default_value(8),
        "tokens of an answer");
    add("stream-every", po::value<std::size_t>()->default_value(0),
        "every that many-th request is streamed; 0 for none");
    add("deadline-ms", po::value<unsigned>()->default_value(10000),
        "deadline of each try");
    add("tries", po::value<unsigned>()->default_value(1),
        "tries of a request; after refusals with Retry-After");
    add("seed", po::value<std::uint64_t>()->default_value(1),
        "seed of the models drawn");
    add("log", po::value<std::string>(), "file for a line a request");
    add("watch", po::value<std::vector<int>>(),
        "process whose use is reported; may be repeated");
    return options;
}

probe_target parse_target(std::string const& text)
{
    std::istringstream parts(text);
    probe_target target;
    std::getline(parts, target.name, ',');
    std::getline(parts, target.url, ',');
    std::getline(parts, target.engine_name);
    if (target.url.empty())
        throw std::runtime_error("not NAME,URL: " + text);
    return target;
}

std::vector<std::string> models_of(po::variables_map const& values)
{
    std::vector<std::string> models;
    if (values.count("model") != 0)
        models = values["model"].as<std::vector<std::string>>();
    if (values.count("models") != 0)
    {
        std::ifstream file(values["models"].as<std::string>());
        models.insert(models.end(), std::istream_iterator<std::string>(file),
                      {});
    }
    if (models.empty())
        throw std::runtime_error("needs --model or --models");
    return models;
}

traffic_plan plan_of(po::variables_map const& values)
{
    traffic_plan plan;
    if (values.count("target") == 0)
        throw std::runtime_error("needs --target");
    for (auto const& text : values["target"].as<std::vector<std::string>>())
        plan.targets.push_back(parse_target(text));
    plan.models = models_of(values);
    plan.zipf_exponent = values["zipf"].as<double>();
    plan.rate = values["rate"].as<double>();
    plan.in_flight = values["in-flight"].as<std::size_t>();
    plan.length = std::chrono::milliseconds(
        static_cast<long>(values["seconds"].as<double>() * 1000));
    plan.tokens = values["tokens"].as<std::size_t>();
    plan.stream_every = values["stream-every"].as<std::size_t>();
    plan.deadline =
        std::chrono::milliseconds(values["deadline-ms"].as<unsigned>());
    plan.tries = values["tries"].as<unsigned>();
    plan.seed = values["seed"].as<std::uint64_t>();
    return plan;
}

std::vector<int> watched(po::variables_map const& values)
{
    if (values.count("watch") == 0)
        return {};
    return values["watch"].as<std::vector<int>>();
}

/// Processor time of all watched since `before`, and what each holds.
void write_usage(std::vector<int> const& processes,
                 std::vector<process_usage> const& before,
                 std::vector<probe_result> const& results, std::size_t tokens)
{
    double used_us = 0;
    for (std::size_t n = 0; n < processes.size(); ++n)
    {
        process_usage const now = usage_of(processes[n]);
        auto const spent = now.processor_time - before[n].processor_time;
        used_us += static_cast<double>(spent.count());
        std::cout << fmt::format(
            "process {}: {:.2f} s of processor time, resident {} KiB before, "
            "{} KiB after\n",
            processes[n], static_cast<double>(spent.count()) / 1e6,
            before[n].resident_kib, now.resident_kib);
    }
    if (processes.empty() || results.empty())
        return;
    double const each = used_us / static_cast<double>(results.size());
    std::cout << fmt::format(
        "watched together: {:.0f} us a request, {:.1f} us a token\n", each,
        each / static_cast<double>(tokens));
}

int run(po::variables_map const& values)
{
    traffic_plan const plan = plan_of(values);
    std::vector<int> const processes = watched(values);
    std::vector<process_usage> before;
    for (int const process : processes)
        before.push_back(usage_of(process));
    auto const began = std::chrono::steady_clock::now();
    auto const results = run_traffic(plan);
    // Answers and later tries still come after the last arrival, so rates are
    // taken over all of the time that it took.
    auto const took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - began);
    write_usage(processes, before, results, plan.tokens);
    write_summary(std::cout, results, took);
    if (values.count("log") != 0)
    {
        std::ofstream file(values["log"].as<std::string>());
        write_log(file, results);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description const options = all_options();
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help") != 0)
        {
            std::cout << options;
            return 0;
        }
        return run(values);
    }
    catch (std::exception const& error)
    {
        std::cerr << "layer_bench: " << error.what() << "\n";
        return 2;
    }
}
