/// Logging through Boost.Log. Each record is a short sentence that starts with
/// the name of the part that logs.
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
    /// One JSON object per line with time, level, vm, part and text.
    json
};

/// Sets up the log sink. Must be called once, before any other thread logs. A
/// thread of the sink writes the records to standard output; records are
/// dropped when its queue is full.
/// Throws std::invalid_argument if `level` is not the name of a log_level or
/// `format` is neither "text" nor "json".
void start_logging(std::string_view vm, std::string_view level,
                   std::string_view format);

/// Stops the sink's thread and writes the records still queued. Does nothing if
/// logging was not started.
void stop_logging();

/// Writes one record; does nothing if logging was not started. `part` names the
/// part of the program that logs. Thread safe.
void log(log_level level, std::string_view part, std::string_view text);

/// Like log(), but writes a structured record. `fields` holds the members of a
/// JSON object without the enclosing braces.
void log_event(log_level level, std::string_view part, std::string_view event,
               std::string const& fields);

/// Writes a line to standard output for the program that started the process.
/// Lines and log records do not interleave. Thread safe.
void write_line(std::string const& line);

} // namespace mulberry

#endif
