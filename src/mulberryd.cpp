/// mulberryd: the serving layer's daemon, one on each entry VM.
#include "daemon.hpp"
#include "settings.hpp"

#include <boost/program_options.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

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

int run(std::string const& path, bool check_only)
{
    auto const parsed = mulberry::parse_settings(read_file(path), path);
    if (auto const* faults =
            std::get_if<std::vector<mulberry::text_fault>>(&parsed))
    {
        for (mulberry::text_fault const& fault : *faults)
            std::cerr << fault.str() << "\n";
        return exit_bad_settings;
    }
    if (check_only)
    {
        std::cout << path << ": the settings are good\n";
        return 0;
    }
    return mulberry::run_daemon(std::get<mulberry::settings>(parsed));
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "mulberryd --settings FILE\n\n"
        "Serves callers, peers and operators on one entry VM until SIGTERM.\n"
        "Exit status: 0 left cleanly, 1 ended by a second signal, 2 bad\n"
        "usage, 3 cannot start, 4 faults in the settings.\n\nOptions");
    options.add_options()("help,h", "this text")(
        "settings,s", po::value<std::string>(),
        "the settings, JSON with comments (docs/SETTINGS.md)")(
        "check", "read the settings, say what is wrong, and end");
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
        if (given.count("settings") == 0)
        {
            std::cerr << "mulberryd: --settings FILE is needed (--help)\n";
            return exit_bad_usage;
        }
        return run(given["settings"].as<std::string>(),
                   given.count("check") != 0);
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
