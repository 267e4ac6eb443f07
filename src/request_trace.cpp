#include "request_trace.hpp"

#include "json_text.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace mulberry
{
namespace
{

/// Members that are left out of log_line::details: they are stored in fields of
/// their own or are not shown.
constexpr std::array<std::string_view, 8> common_members{
    "time", "level", "vm", "part", "text", "request", "worker", "service"};

/// The group of an event that changes the VM's view of the deployment; a newer
/// event of a group replaces the older one. Empty for other events.
std::string state_group(log_line const& line)
{
    static std::map<std::string, std::string, std::less<>> const groups{
        {"configuration taken", "configuration"},
        {"store lost", "store"},
        {"store regained", "store"},
        {"lease held", "lease"},
        {"lease lapsed", "lease"},
        {"members changed", "members"},
        {"started", "process"},
        {"stopping", "process"},
        {"worker listed", "worker"},
        {"worker drains", "worker"},
        {"worker gone", "worker"},
        {"worker names a limit", "limit"},
        {"worker limit ended", "limit"},
        {"cut off from workers", "workers"},
        {"workers reached again", "workers"},
        {"worker owned", "owner"},
        {"worker given up", "owner"}};
    auto const group = groups.find(line.event);
    if (group == groups.end())
        return "";
    return group->second + (line.worker.empty() ? "" : " " + line.worker);
}

std::string value_text(Json::Value const& value)
{
    return value.isString() ? value.asString() : to_text(value);
}

log_line parse_line(Json::Value const& json)
{
    log_line line;
    line.time = text_or(json, "time", "");
    line.vm = text_or(json, "vm", "");
    line.event = text_or(json, "text", "");
    line.request = text_or(json, "request", "");
    line.worker = text_or(json, "worker", "");
    line.content = text_or(json, "content", "");
    line.stream = text_or(json, "stream", "");
    for (std::string const& name : json.getMemberNames())
        if (std::find(common_members.begin(), common_members.end(), name) ==
            common_members.end())
            line.details.push_back(name + "=" + value_text(json[name]));
    return line;
}

/// The contents named by the lines that say that the request was refused.
std::set<std::string> quarantined_contents(std::string const& request,
                                           std::vector<log_line> const& lines)
{
    std::set<std::string> contents;
    for (log_line const& line : lines)
        if (line.request == request && line.event == "request refused")
            contents.insert(line.content);
    return contents;
}

/// Whether the line reports a crash or the quarantine of one of the contents.
bool is_related_crash(log_line const& line,
                      std::set<std::string> const& contents)
{
    return contents.count(line.content) > 0 &&
           (line.event == "worker crashed under request" ||
            line.event == "request quarantined");
}

/// The streams that the request began or took up.
std::set<std::string> streams_of(std::string const& request,
                                 std::vector<log_line> const& lines)
{
    std::set<std::string> streams{request};
    for (log_line const& line : lines)
        if (line.request == request && !line.stream.empty())
            streams.insert(line.stream);
    return streams;
}

/// Whether the line tells at which version of the software one of the streams
/// began or went on.
bool is_related_stream(log_line const& line,
                       std::set<std::string> const& streams)
{
    return streams.count(line.stream) > 0;
}

log_line with_request_id(log_line line)
{
    if (!line.request.empty())
        line.details.insert(line.details.begin(), "request=" + line.request);
    return line;
}

} // namespace

std::vector<log_line> parse_log(std::string_view text)
{
    std::vector<log_line> lines;
    while (!text.empty())
    {
        std::size_t const end = std::min(text.find('\n'), text.size());
        std::string_view const line_text = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!line_text.starts_with('{'))
            continue;
        auto const json = from_text(line_text);
        if (json && json->isObject() && json->isMember("text"))
            lines.push_back(parse_line(*json));
    }
    return lines;
}

std::vector<log_line> trace_request(std::string const& request,
                                    std::vector<log_line> lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](log_line const& a, log_line const& b)
                     { return a.time < b.time; });
    std::set<std::string> const contents = quarantined_contents(request, lines);
    std::set<std::string> const streams = streams_of(request, lines);
    std::map<std::string, std::map<std::string, log_line>> latest_states;
    std::set<std::pair<std::string, std::string>> shown;
    std::vector<log_line> trace;
    for (log_line const& line : lines)
    {
        if (std::string const group = state_group(line); !group.empty())
        {
            latest_states[line.vm][group] = line;
            shown.erase({line.vm, group});
        }
        if (line.request != request)
        {
            if (is_related_crash(line, contents) ||
                is_related_stream(line, streams))
                trace.push_back(with_request_id(line));
            continue;
        }
        std::vector<log_line> before;
        for (auto const& [group, state] : latest_states[line.vm])
        {
            bool const concerns =
                state.worker.empty() || state.worker == line.worker;
            if (concerns && shown.insert({line.vm, group}).second)
                before.push_back(state);
        }
        std::stable_sort(before.begin(), before.end(),
                         [](log_line const& a, log_line const& b)
                         { return a.time < b.time; });
        trace.insert(trace.end(), before.begin(), before.end());
        trace.push_back(line);
    }
    return trace;
}

std::string to_text(log_line const& line)
{
    std::string text = line.time + " " + line.vm + " " + line.event;
    if (!line.worker.empty())
        text += " worker=" + line.worker;
    for (std::string const& detail : line.details)
        text += " " + detail;
    return text;
}

} // namespace mulberry
