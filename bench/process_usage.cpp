#include "process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace mulberry
{
namespace
{

/// Of /proc/PID/stat, counted after the name's closing bracket.
constexpr int fields_before_user_time = 11;

std::chrono::microseconds processor_time_of(std::string const& folder)
{
    std::ifstream file(folder + "/stat");
    std::string line;
    std::getline(file, line);
    auto const name_end = line.rfind(')');
    if (name_end == std::string::npos)
        return {};
    std::istringstream fields(line.substr(name_end + 1));
    std::string skipped;
    for (int n = 0; n < fields_before_user_time; ++n)
        fields >> skipped;
    long long user = 0;
    long long system = 0;
    fields >> user >> system;
    return std::chrono::microseconds((user + system) * 1'000'000 /
                                     sysconf(_SC_CLK_TCK));
}

std::size_t resident_kib_of(std::string const& folder)
{
    std::ifstream file(folder + "/status");
    std::string key;
    while (file >> key)
    {
        std::size_t kib = 0;
        if (key == "VmRSS:" && file >> kib)
            return kib;
    }
    return 0;
}

} // namespace

process_usage usage_of(pid_t process)
{
    std::string const folder = "/proc/" + std::to_string(process);
    return {processor_time_of(folder), resident_kib_of(folder)};
}

} // namespace mulberry
