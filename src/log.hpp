/// Logs by Boost.Log: short sentences with a fixed prefix for each part.
#ifndef MULBERRY_LOG_HPP
#define MULBERRY_LOG_HPP

#include <string>
#include <string_view>

namespace mulberry
{

enum class log_level
{
    trace,
    debug,
    info,
    warning,
    error,
    fatal
};

enum class log_format
{
    /// TIME LEVEL [PART] text
    text,
    /// One JSON object a line: time, level, vm, part, text.
    json
};

/// Sets the sink up, once, before any other thread logs. Records go to the
/// standard output stream through a thread of the sink's own.
/// Throws std::invalid_argument for a level that is none of the above, or a
/// format that is not text or json.
void start_logging(std::string_view vm, std::string_view level,
                   std::string_view format);

/// Writes what is still queued and stops the sink's thread.
void stop_logging();

/// Thread safe. `part` is the fixed prefix.
void log(log_level level, std::string_view part, std::string_view text);

/// Writes one structured record: `fields` are the members of a JSON object
/// without its braces. As log() otherwise.
void log_event(log_level level, std::string_view part, std::string_view event,
               std::string const& fields);

/// Writes a line for whoever started the process to the standard output stream.
/// No record lands within it, nor it within a record. Thread safe.
void write_line(std::string const& line);

} // namespace mulberry

#endif
