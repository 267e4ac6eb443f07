/// mulberryd: the serving layer's daemon. One instance runs on each entry VM.
#include "daemon.hpp"
#include "metadata_store.hpp"
#include "relay_daemon.hpp"
#include "settings.hpp"
#include "wire_codec.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace
{

namespace po = boost::program_options;

constexpr int exit_bad_usage = 2;
constexpr int exit_cannot_start = 3;
constexpr int exit_bad_settings = 4;

std::string read_file(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Returns the parsed settings, or prints their errors and returns nothing.
template <class Settings>
std::optional<Settings> value_or_print_faults(
    std::variant<Settings, std::vector<mulberry::text_fault>> parsed)
{
    if (auto const* faults =
            std::get_if<std::vector<mulberry::text_fault>>(&parsed))
    {
        for (mulberry::text_fault const& fault : *faults)
            std::cerr << fault.str() << "\n";
        return std::nullopt;
    }
    return std::get<Settings>(std::move(parsed));
}

std::optional<mulberry::relay_settings> read_relay(std::string const& path)
{
    return value_or_print_faults(
        mulberry::parse_relay_settings(read_file(path), path));
}

int run_relay(std::string const& path)
{
    auto const value = read_relay(path);
    if (!value)
        return exit_bad_settings;
    mulberry::platform::wire_codec const codec;
    mulberry::platform::metadata_store store(value->store_url);
    return mulberry::run_relay(
        *value, codec, store,
        [&path]() -> std::optional<mulberry::relay_settings>
        {
            try
            {
                return read_relay(path);
            }
            catch (std::runtime_error const& unreadable)
            {
                std::cerr << unreadable.what() << "\n";
                return std::nullopt;
            }
        });
}

int run(std::string const& path, bool relay, bool check_only)
{
    if (check_only)
    {
        bool const good =
            relay ? read_relay(path).has_value()
                  : value_or_print_faults(
                        mulberry::parse_settings(read_file(path), path))
                        .has_value();
        if (good)
            std::cout << path << ": the settings are valid\n";
        return good ? 0 : exit_bad_settings;
    }
    if (relay)
        return run_relay(path);
    auto const value =
        value_or_print_faults(mulberry::parse_settings(read_file(path), path));
    return value ? mulberry::run_daemon(*value) : exit_bad_settings;
}

/// Returns the path from --settings or --settings-variable; empty if neither
/// gives one.
std::string settings_path(po::variables_map const& given)
{
    if (given.count("settings") != 0)
        return given["settings"].as<std::string>();
    if (given.count("settings-variable") == 0)
        return "";
    char const* const path =
        std::getenv(given["settings-variable"].as<std::string>().c_str());
    return path == nullptr ? "" : path;
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "mulberryd [--relay] --settings FILE\n\n"
        "Serves callers on one entry VM until SIGTERM. With --relay it passes\n"
        "requests on by the routes of a platform's operator and takes part in\n"
        "nothing else.\n"
        "Exit status: 0 left cleanly, 1 ended by a second signal, 2 bad\n"
        "usage, 3 cannot start, 4 faults in the settings.\n\nOptions");
    options.add_options()("help,h", "this text")(
        "settings,s", po::value<std::string>(),
        "the settings, JSON with comments (docs/SETTINGS.md)")(
        "settings-variable", po::value<std::string>(),
        "the environment variable that holds the path of the settings")(
        "relay", "relay on a platform (docs/PLATFORM.md)")(
        "check", "check the settings, print errors, and exit");
    try
    {
        po::variables_map given;
        po::store(po::parse_command_line(argc, argv, options), given);
        po::notify(given);
        if (given.count("help") != 0)
        {
            std::cout << options;
            return 0;
        }
        std::string const path = settings_path(given);
        if (path.empty())
        {
            std::cerr
                << "mulberryd: --settings FILE is required (see --help)\n";
            return exit_bad_usage;
        }
        return run(path, given.count("relay") != 0, given.count("check") != 0);
    }
    catch (po::error const& fault)
    {
        std::cerr << "mulberryd: " << fault.what() << "\n";
        return exit_bad_usage;
    }
    catch (std::exception const& fault)
    {
        std::cerr << "mulberryd: " << fault.what() << "\n";
        return exit_cannot_start;
    }
}
