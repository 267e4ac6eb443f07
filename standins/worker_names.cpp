#include "worker_names.hpp"

#include "standin_program.hpp"

#include <fmt/format.h>

#include <charconv>

namespace mulberry::standins
{
namespace
{

unsigned parse_count(std::string const& text)
{
    unsigned count = 0;
    char const* const end = text.data() + text.size();
    auto const [stopped, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc{} || stopped != end || count == 0 || count > 999)
        throw bad_option("invalid number of workers: '" + text + "'");
    return count;
}

} // namespace

std::vector<std::string> worker_names(std::vector<std::string> const& patterns)
{
    std::vector<std::string> names;
    for (std::string const& pattern : patterns)
    {
        std::size_t const colon = pattern.find(':');
        std::string const name = pattern.substr(0, colon);
        if (name.empty() || name.find('/') != std::string::npos)
            throw bad_option("invalid worker name: '" + name + "'");
        if (colon == std::string::npos)
        {
            names.push_back(name);
            continue;
        }
        unsigned const count = parse_count(pattern.substr(colon + 1));
        for (unsigned number = 1; number <= count; ++number)
            names.push_back(fmt::format("{}-{:02}", name, number));
    }
    return names;
}

worker_path split_worker(std::string_view path)
{
    std::size_t const slash = path.find('/', 1);
    if (path.empty() || slash == std::string_view::npos)
        return {std::string(path.substr(path.empty() ? 0 : 1)), "/"};
    return {std::string(path.substr(1, slash - 1)),
            std::string(path.substr(slash))};
}

} // namespace mulberry::standins
