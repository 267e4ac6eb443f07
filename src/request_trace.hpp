/// Selects from the logs of several processes the lines that explain what
/// happened to one request.
#ifndef MULBERRY_REQUEST_TRACE_HPP
#define MULBERRY_REQUEST_TRACE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// One structured line of a log.
struct log_line
{
    /// ISO 8601; lines are sorted by comparing this text.
    std::string time;
    std::string vm;
    std::string event;
    std::string request;
    std::string worker;
    /// Identifies the request's content, the same in all attempts with that
    /// content; empty where the line does not name it.
    std::string content;
    /// The caller's try that began the stream that the line is about.
    std::string stream;
    /// The members that are specific to the event, including `content`, as
    /// NAME=VALUE.
    std::vector<std::string> details;
    friend bool operator==(log_line const&, log_line const&) = default;
};

/// Parses the lines that are JSON objects with an event (member `text`), in
/// their order in the text. Other lines are skipped.
std::vector<log_line> parse_log(std::string_view text);

/// Returns the lines that name the request, ordered by time. Each is preceded
/// by the newest earlier lines of the same VM that describe the VM's view of
/// the worker, its configuration, its lease and its store, unless they were
/// already listed. For a request that was refused because its content is
/// quarantined, the result also has the crashes under other attempts with that
/// content at any VM. Empty when no line names the request. `lines` may be in
/// any order.
std::vector<log_line> trace_request(std::string const& request,
                                    std::vector<log_line> lines);

/// The line as text without a line end: time, VM, event, worker and details;
/// `request` is not shown.
std::string to_text(log_line const& line);

} // namespace mulberry

#endif
