#include "ctl_text.hpp"

#include <fmt/format.h>
#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <sstream>
#include <vector>

namespace mulberry
{
namespace
{

// Numbers that people write, such as 0.8, usually read back exactly from 15
// digits; with 17 digits, 0.8 is written as 0.80000000000000004.
constexpr int short_precision = 15;
constexpr int exact_precision = 17;

bool round_trips(std::string const& text, Json::Value const& value)
{
    Json::Value back;
    std::istringstream input(text);
    return Json::parseFromStream(Json::CharReaderBuilder(), input, &back,
                                 nullptr) &&
           back == value;
}

std::string field(Json::Value const& object, char const* name)
{
    if (!object.isObject() || !object.isMember(name))
        return "-";
    Json::Value const& value = object[name];
    if (value.isNull())
        return "-";
    if (value.isDouble() && !value.isInt64())
        return fmt::format("{:.6g}", value.asDouble());
    if (value.isArray() || value.isObject())
        return fmt::format("{}", value.size());
    return value.asString();
}

Json::Value const& member(Json::Value const& object, char const* name)
{
    static Json::Value const nothing;
    return object.isObject() && object.isMember(name) ? object[name] : nothing;
}

using row = std::vector<std::string>;

/// Formats rows with aligned columns. The first row is the heading and sets the
/// number of columns.
std::string table_text(std::vector<row> const& rows, std::string const& indent)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (row const& cells : rows)
        for (std::size_t at = 0; at < cells.size(); ++at)
            widths[at] = std::max(widths[at], cells[at].size());
    std::string text;
    for (row const& cells : rows)
    {
        std::string line = indent;
        for (std::size_t at = 0; at < cells.size(); ++at)
            line += fmt::format("{:<{}}  ", cells[at], widths[at]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string residents_text(Json::Value const& residents)
{
    std::string text;
    for (Json::Value const& each : residents)
    {
        text += (text.empty() ? "" : ", ") + field(each, "adapter");
        if (field(each, "state") != "ready")
            text += " (" + field(each, "state") + ")";
    }
    return text.empty() ? "-" : text;
}

std::string workers_text(Json::Value const& workers)
{
    std::vector<row> rows{
        {"worker", "fence", "running", "queued", "suspects", "residents"}};
    for (Json::Value const& worker : workers)
        rows.push_back({field(worker, "worker"), field(worker, "fence"),
                        field(worker, "running"), field(worker, "queued"),
                        field(worker, "suspects"),
                        residents_text(member(worker, "residents"))});
    return rows.size() == 1 ? "" : table_text(rows, "    ");
}

std::string measures_text(Json::Value const& measures)
{
    std::string text;
    if (measures.isObject())
        for (std::string const& name : measures.getMemberNames())
            text += fmt::format("    {}: {}\n", name,
                                field(measures, name.c_str()));
    return text;
}

std::string vm_text(Json::Value const& vm)
{
    Json::Value const& configuration = member(vm, "configuration");
    bool const stale = member(configuration, "fresh").isBool() &&
                       !member(configuration, "fresh").asBool();
    return fmt::format("{} (incarnation {}): {}, configuration {}{}, table "
                       "{}\n",
                       field(vm, "vm"), field(vm, "incarnation"),
                       field(vm, "state"), field(configuration, "version"),
                       stale ? " (STALE)" : "", field(vm, "table")) +
           workers_text(member(vm, "workers")) +
           measures_text(member(vm, "measures"));
}

std::string percentage(Json::Value const& object, char const* name)
{
    Json::Value const& value = member(object, name);
    return value.isNumeric() ? fmt::format("{:.2f}%", value.asDouble() * 100)
                             : "-";
}

/// A number of requests or, for batch_efficiency, seconds of batch slots.
std::string count_text(Json::Value const& target, char const* name)
{
    bool const is_time = field(target, "measure") == "batch_efficiency";
    return field(target, name) + (is_time ? " s" : "");
}

/// For example "answered_within 20000 ms, at least 95.00%".
std::string objective_text(Json::Value const& target)
{
    std::string const measure = field(target, "measure");
    std::string text = measure;
    if (member(target, "bound_ms").isNumeric())
        text += " " + field(target, "bound_ms") + " ms";
    text += measure == "stall_share" ? ", at most " : ", at least ";
    return text + percentage(target, "share");
}

} // namespace

std::string status_text(Json::Value const& status)
{
    std::string text;
    for (Json::Value const& vm : member(status, "vms"))
        text += vm_text(vm);
    for (Json::Value const& vm : member(status, "unreachable"))
        text += vm.asString() + ": UNREACHABLE\n";
    return text;
}

std::string targets_text(Json::Value const& targets)
{
    std::vector<row> rows{{"application", "target", "counted", "reached",
                           "left", "forecast", "at risk"}};
    for (Json::Value const& target : member(targets, "targets"))
        rows.push_back(
            {field(target, "application"), objective_text(target),
             count_text(target, "counted"), percentage(target, "reached"),
             count_text(target, "left"), percentage(target, "forecast"),
             field(target, "at_risk") == "true" ? "AT RISK" : "no"});
    if (rows.size() == 1)
        return fmt::format("Quarter {}: no targets are declared\n",
                           field(targets, "quarter"));
    return fmt::format("Quarter {}, to date\n", field(targets, "quarter")) +
           table_text(rows, "");
}

std::string events_text(Json::Value const& events)
{
    std::string text;
    for (Json::Value const& event : events)
        text += fmt::format("{} {} {} {}: {}\n", field(event, "stamp"),
                            field(event, "vm"), field(event, "part"),
                            field(event, "kind"), field(event, "text"));
    return text;
}

Json::Value refusal_json(std::string const& message, Json::Value const& data)
{
    Json::Value json(Json::objectValue);
    Json::Value& error = json["error"];
    error["message"] = message;
    for (char const* name : {"kind", "ran", "retry_after_ms", "changes"})
        error[name] = member(data, name);
    return json;
}

std::string pretty_json(Json::Value const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    builder["precision"] = short_precision;
    std::string const text = Json::writeString(builder, value);
    if (round_trips(text, value))
        return text + "\n";
    builder["precision"] = exact_precision;
    return Json::writeString(builder, value) + "\n";
}

} // namespace mulberry
