/// The story of one request out of the logs of several processes.
#ifndef MULBERRY_REQUEST_TRACE_HPP
#define MULBERRY_REQUEST_TRACE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// One structured line of a log. Value.
struct log_line
{
    /// ISO 8601, so that texts compare as times do.
    std::string time;
    std::string vm;
    std::string event;
    std::string request;
    std::string worker;
    /// What is the same in all tries of a request, where the line says it.
    std::string content;
    /// The members that only this event has, as NAME=VALUE.
    std::vector<std::string> details;
    friend bool operator==(log_line const&, log_line const&) = default;
};

/// The lines that are structured, in the order of the text; others are skipped.
std::vector<log_line> parse_log(std::string_view text);

/// What decided about one request: its own lines in order, and before each the
/// newest line of the same VM that says what it then believed of the worker,
/// its configuration, its lease and its store. For a request that is in
/// quarantine also the crashes under other tries of it, at any VM. Empty when
/// no line names it.
std::vector<log_line> trace_request(std::string const& request,
                                    std::vector<log_line> lines);

std::string to_text(log_line const& line);

} // namespace mulberry

#endif
