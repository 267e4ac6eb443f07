#include "event_splitter.hpp"

#include <charconv>
#include <utility>

namespace mulberry
{
namespace
{

/// Returns the value of the line's field, or nullopt if the line has another
/// field.
std::optional<std::string_view> value_of(std::string_view line,
                                         std::string_view field)
{
    if (!line.starts_with(field))
        return std::nullopt;
    line.remove_prefix(field.size());
    if (line.empty())
        return line;
    if (line.front() != ':')
        return std::nullopt;
    line.remove_prefix(1);
    while (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    std::size_t complete = 0;
    for (std::size_t at = incomplete_.size(), end = at + bytes.size(),
                     first = at;
         at < end; ++at)
    {
        char const byte = bytes[at - first];
        incomplete_ += byte;
        bool const ends_pair =
            std::exchange(after_carriage_return_, byte == '\r') && byte == '\n';
        if (ends_pair)
        {
            // The line has ended at its carriage return.
            if (complete == at)
                complete = at + 1;
            line_begin_ = at + 1;
            continue;
        }
        if (byte != '\n' && byte != '\r')
            continue;
        std::string_view const line =
            std::string_view(incomplete_).substr(line_begin_, at - line_begin_);
        if (line.empty())
        {
            end_event();
            complete = at + 1;
        }
        else
            read_line(line);
        line_begin_ = at + 1;
    }
    std::string events = incomplete_.substr(0, complete);
    incomplete_.erase(0, complete);
    line_begin_ -= complete;
    return events;
}

void event_splitter::read_line(std::string_view line)
{
    if (line.front() == ':')
        return;
    event_begun_ = true;
    if (value_of(line, "data"))
        event_has_data_ = true;
    auto const text = value_of(line, "id");
    if (!text)
        return;
    std::uint64_t id = 0;
    char const* const end = text->data() + text->size();
    auto const [stop, failure] = std::from_chars(text->data(), end, id);
    if (failure == std::errc() && stop == end)
        event_id_ = id;
}

void event_splitter::end_event()
{
    if (event_has_data_)
    {
        ends_without_id_ = !event_id_;
        answer_has_events_ = true;
    }
    if (event_id_)
        last_id_ = event_id_;
    event_id_.reset();
    event_begun_ = false;
    event_has_data_ = false;
}

void event_splitter::begin_answer()
{
    incomplete_.clear();
    line_begin_ = 0;
    after_carriage_return_ = false;
    event_begun_ = false;
    event_has_data_ = false;
    event_id_.reset();
    answer_has_events_ = false;
}

std::string event_splitter::take_rest()
{
    line_begin_ = 0;
    return std::exchange(incomplete_, {});
}

bool event_splitter::is_within_event() const
{
    return event_begun_ || line_begin_ < incomplete_.size();
}

} // namespace mulberry
