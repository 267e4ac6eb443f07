#include "platform_service.hpp"

#include <boost/program_options.hpp>

namespace po = boost::program_options;
using namespace mulberry::standins;

namespace
{

std::unique_ptr<standin_service> make_platform(po::variables_map const& values,
                                               standin_loop& loop)
{
    platform_limits limits;
    limits.writes_per_second = values["writes-per-second"].as<double>();
    limits.reads_per_second = values["reads-per-second"].as<double>();
    limits.weights.loads_per_second = values["loads-per-second"].as<double>();
    limits.weights.loads_at_once = values["loads-at-once"].as<unsigned>();
    limits.weights.load_time =
        std::chrono::milliseconds(values["load-time-ms"].as<unsigned>());
    if (limits.writes_per_second <= 0 || limits.reads_per_second <= 0 ||
        limits.weights.loads_per_second <= 0 ||
        limits.weights.loads_at_once == 0)
        throw bad_option("limits must be above 0");
    return std::make_unique<platform_service>(limits, loop);
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options("fake_platform: the platform's table, "
                                    "objects, weights and list of VMs");
    auto add = options.add_options();
    add("writes-per-second", po::value<double>()->default_value(600),
        "rows written and objects put a second, else 429");
    add("reads-per-second", po::value<double>()->default_value(2000),
        "reads of rows, scans and objects a second, else 429");
    add("loads-per-second", po::value<double>()->default_value(9),
        "loads from the weight store a second, else 429");
    add("loads-at-once", po::value<unsigned>()->default_value(4),
        "loads at full speed at the same time; more share that speed");
    add("load-time-ms", po::value<unsigned>()->default_value(400),
        "time of one load at full speed");
    return run_standin(argc, argv, options, make_platform);
}
