/// An incremental parser of server-sent events (text/event-stream).
#ifndef MULBERRY_SSE_PARSER_HPP
#define MULBERRY_SSE_PARSER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// One event. Fields other than `event` and `data` are ignored.
struct sse_event
{
    /// Empty if the event has no `event` field.
    std::string event;
    /// The values of the `data` fields, joined by line feeds.
    std::string data;

    friend bool operator==(sse_event const&, sse_event const&) = default;
};

/// Parses one stream, passed in pieces split at any byte. A line ends with LF,
/// CRLF or CR. Thread safety: none.
class sse_parser
{
public:
    /// `max_event_bytes` limits the bytes of one event, line ends not counted.
    explicit sse_parser(std::size_t max_event_bytes);

    /// Returns the events completed by these bytes, in order. After an overflow
    /// no further event is returned.
    std::vector<sse_event> feed(std::string_view bytes);

    /// An event exceeded max_event_bytes; the rest of the stream is ignored.
    bool overflowed() const { return overflowed_; }

private:
    void parse_byte(char byte, std::vector<sse_event>& events);
    void parse_line(std::vector<sse_event>& events);
    void parse_field(std::string_view name, std::string_view value);
    void dispatch(std::vector<sse_event>& events);

    std::size_t max_event_bytes_;
    std::size_t event_bytes_ = 0;
    std::string line_;
    sse_event event_;
    bool has_data_ = false;
    bool previous_was_cr_ = false;
    bool overflowed_ = false;
};

} // namespace mulberry

#endif
