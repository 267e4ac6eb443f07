#include "sse_parser.hpp"

#include <utility>

namespace mulberry
{

sse_parser::sse_parser(std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes)
{
}

std::vector<sse_event> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    for (char const byte : bytes)
    {
        if (overflowed_)
            break;
        parse_byte(byte, events);
    }
    return events;
}

void sse_parser::parse_byte(char byte, std::vector<sse_event>& events)
{
    // The line ended at the CR already: the LF of a CRLF may arrive in the next
    // piece.
    bool const ends_crlf = previous_was_cr_ && byte == '\n';
    previous_was_cr_ = byte == '\r';
    if (ends_crlf)
        return;
    if (byte == '\n' || byte == '\r')
    {
        parse_line(events);
        return;
    }
    line_ += byte;
    // Without the limit, an engine that never ends an event would exhaust the
    // memory of the process and break every other stream.
    overflowed_ = ++event_bytes_ > max_event_bytes_;
}

void sse_parser::parse_line(std::vector<sse_event>& events)
{
    std::string const line = std::exchange(line_, {});
    if (line.empty())
    {
        dispatch(events);
        return;
    }
    std::size_t const colon = line.find(':');
    if (colon == 0)
        return;
    if (colon == std::string::npos)
    {
        parse_field(line, {});
        return;
    }
    std::string_view value = std::string_view(line).substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    parse_field(std::string_view(line).substr(0, colon), value);
}

void sse_parser::parse_field(std::string_view name, std::string_view value)
{
    if (name == "event")
    {
        event_.event = value;
        return;
    }
    if (name != "data")
        return;
    if (has_data_)
        event_.data += '\n';
    event_.data += value;
    has_data_ = true;
}

void sse_parser::dispatch(std::vector<sse_event>& events)
{
    event_bytes_ = 0;
    sse_event event = std::exchange(event_, {});
    if (std::exchange(has_data_, false))
        events.push_back(std::move(event));
}

} // namespace mulberry
