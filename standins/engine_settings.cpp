#include "engine_settings.hpp"

#include "json_text.hpp"
#include "standin_program.hpp"
#include "worker_names.hpp"

#include <boost/program_options/value_semantic.hpp>

#include <fstream>
#include <iterator>
#include <set>

namespace mulberry::standins
{
namespace
{

namespace po = boost::program_options;

std::chrono::milliseconds milliseconds(po::variables_map const& values,
                                       char const* name)
{
    return std::chrono::milliseconds(values[name].as<unsigned>());
}

/// The settings from the command line that apply to every worker.
engine_settings common_settings(po::variables_map const& values)
{
    engine_settings settings;
    settings.base_model = values["base-model"].as<std::string>();
    settings.batch.slots = values["batch"].as<unsigned>();
    settings.batch.queue_limit = values["queue-limit"].as<unsigned>();
    settings.batch.token_time =
        from_milliseconds(values["token-ms"].as<double>());
    settings.prefixes.slots = values["prefix-slots"].as<unsigned>();
    settings.prefixes.event_lag = milliseconds(values, "cache-lag-ms");
    settings.prefixes.lose_every = values["cache-lose-every"].as<unsigned>();
    settings.adapter_slots = values["slots"].as<unsigned>();
    settings.prefill_time =
        from_milliseconds(values["prefill-ms"].as<double>());
    settings.load_time = milliseconds(values, "load-ms");
    settings.report_lag = milliseconds(values, "report-lag-ms");
    settings.restart_time = milliseconds(values, "restart-ms");
    return settings;
}

/// The members allowed in a worker's entry of the configuration file.
void apply_entry(Json::Value const& entry, engine_settings& settings)
{
    auto const size = [&entry](char const* name, std::size_t standard)
    { return entry.get(name, Json::UInt64(standard)).asUInt64(); };
    auto const micros = [&entry](char const* name, auto& time)
    {
        if (entry.isMember(name))
            time = std::chrono::duration_cast<
                std::remove_reference_t<decltype(time)>>(
                from_milliseconds(entry[name].asDouble()));
    };
    settings.name = entry["name"].asString();
    settings.base_model =
        entry.get("base_model", settings.base_model).asString();
    settings.batch.slots = size("batch_slots", settings.batch.slots);
    settings.batch.queue_limit =
        size("queue_limit", settings.batch.queue_limit);
    settings.prefixes.slots = size("prefix_slots", settings.prefixes.slots);
    settings.adapter_slots = size("adapter_slots", settings.adapter_slots);
    settings.checks_fence =
        entry.get("checks_fence", settings.checks_fence).asBool();
    micros("token_ms", settings.batch.token_time);
    micros("prefill_ms", settings.prefill_time);
    micros("load_ms", settings.load_time);
    micros("report_lag_ms", settings.report_lag);
    micros("cache_lag_ms", settings.prefixes.event_lag);
    micros("restart_ms", settings.restart_time);
}

void add_file_workers(std::string const& path, engine_settings const& common,
                      std::vector<engine_settings>& workers)
{
    std::ifstream file(path);
    if (!file)
        throw bad_option("cannot read '" + path + "'");
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    try
    {
        for (Json::Value const& entry : parse_object(text)["workers"])
        {
            workers.push_back(common);
            apply_entry(entry, workers.back());
        }
    }
    catch (std::runtime_error const& error)
    {
        throw bad_option(path + ": " + error.what());
    }
}

void check(std::vector<engine_settings> const& workers)
{
    if (workers.empty())
        throw bad_option("--workers or --config is required");
    std::set<std::string> names;
    for (engine_settings const& worker : workers)
    {
        if (worker.name.empty() || !names.insert(worker.name).second)
            throw bad_option("worker name is empty or not unique: '" +
                             worker.name + "'");
        if (worker.batch.slots == 0)
            throw bad_option("a worker needs at least one batch slot");
    }
}

} // namespace

std::chrono::microseconds from_milliseconds(double milliseconds)
{
    if (milliseconds < 0)
        throw bad_request("a time must not be negative");
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

void add_engine_options(po::options_description& options)
{
    auto add = options.add_options();
    add("workers", po::value<std::vector<std::string>>(),
        "NAME, or NAME:COUNT for NAME-01 and so on; may be repeated");
    add("config", po::value<std::string>(),
        "JSON file with comments: {\"workers\": [{\"name\", ...}]}; what an "
        "entry leaves out comes from the options");
    add("base-model", po::value<std::string>()->default_value("base"),
        "name of the base model");
    add("batch", po::value<unsigned>()->default_value(8),
        "streams that run at once");
    add("slots", po::value<unsigned>()->default_value(4), "adapter slots");
    add("token-ms", po::value<double>()->default_value(20),
        "time of a token; fractions count");
    add("prefill-ms", po::value<double>()->default_value(50),
        "time of the first token; a quarter of it with a cached prefix");
    add("load-ms", po::value<unsigned>()->default_value(50),
        "time of an adapter load beside the weight store's");
    add("queue-limit", po::value<unsigned>()->default_value(256),
        "requests that may wait, else 503 overloaded");
    add("prefix-slots", po::value<unsigned>()->default_value(64),
        "prefixes cached");
    add("cache-lag-ms", po::value<unsigned>()->default_value(200),
        "age at which cache events are seen");
    add("cache-lose-every", po::value<unsigned>()->default_value(10),
        "every that many-th cache event is lost; 0 for none");
    add("report-lag-ms", po::value<unsigned>()->default_value(200),
        "greatest age of what /load says");
    add("restart-ms", po::value<unsigned>()->default_value(300),
        "time of a restart, with 503 restarting to every call");
    add("fence-every", po::value<unsigned>()->default_value(0),
        "every that many-th worker checks fencing numbers; 0 for none");
}

std::vector<engine_settings> engine_workers(po::variables_map const& values)
{
    engine_settings const common = common_settings(values);
    std::vector<engine_settings> workers;
    std::vector<std::string> names;
    if (values.count("workers") != 0)
        names = worker_names(values["workers"].as<std::vector<std::string>>());
    unsigned const fence_every = values["fence-every"].as<unsigned>();
    for (std::string const& name : names)
    {
        workers.push_back(common);
        workers.back().name = name;
        workers.back().checks_fence =
            fence_every != 0 && workers.size() % fence_every == 0;
    }
    if (values.count("config") != 0)
        add_file_workers(values["config"].as<std::string>(), common, workers);
    check(workers);
    return workers;
}

} // namespace mulberry::standins
