/// Settings of the workers that a fake engine process simulates.
#ifndef MULBERRY_ENGINE_SETTINGS_HPP
#define MULBERRY_ENGINE_SETTINGS_HPP

#include "batch_scheduler.hpp"
#include "prefix_cache.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace mulberry::standins
{

struct engine_settings
{
    std::string name;
    std::string base_model;
    batch_settings batch;
    prefix_settings prefixes;
    std::size_t adapter_slots = 4;
    std::chrono::microseconds prefill_time{0};
    std::chrono::milliseconds load_time{0};
    std::chrono::milliseconds report_lag{0};
    std::chrono::milliseconds restart_time{0};
    bool checks_fence = false;
};

/// Converts with a resolution of one microsecond.
std::chrono::microseconds from_milliseconds(double milliseconds);

void add_engine_options(boost::program_options::options_description& options);
/// Returns all workers of the command line and of its configuration file.
/// Throws bad_option.
std::vector<engine_settings>
engine_workers(boost::program_options::variables_map const& values);

} // namespace mulberry::standins

#endif
