#include "event_splitter.hpp"

#include <charconv>

namespace mulberry
{
namespace
{

/// Returns the offset behind the last complete event, or 0 if there is none. An
/// event ends with an empty line.
std::size_t end_of_events(std::string_view text)
{
    std::size_t end = 0;
    for (std::size_t at = 0; at + 1 < text.size(); ++at)
    {
        if (text[at] != '\n')
            continue;
        if (text[at + 1] == '\n')
            end = at + 2;
        else if (text[at + 1] == '\r' && at + 2 < text.size() &&
                 text[at + 2] == '\n')
            end = at + 3;
    }
    return end;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    incomplete_ += bytes;
    std::string complete = incomplete_.substr(0, end_of_events(incomplete_));
    incomplete_.erase(0, complete.size());
    read_ids(complete);
    return complete;
}

void event_splitter::read_ids(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty())
    {
        std::size_t const end = std::min(events.find('\n'), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec ==
            std::errc())
            last_id_ = id;
    }
}

} // namespace mulberry
