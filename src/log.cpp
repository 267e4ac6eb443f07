#include "log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <json/value.h>
#include <json/writer.h>

#include <iostream>
#include <optional>
#include <stdexcept>

namespace mulberry
{
namespace
{

namespace bl = boost::log;

constexpr std::size_t max_queued_records = 65536;

using backend = bl::sinks::text_ostream_backend;
using sink = bl::sinks::asynchronous_sink<
    backend, bl::sinks::bounded_fifo_queue<max_queued_records,
                                           bl::sinks::drop_on_overflow>>;
using logger = bl::sources::severity_channel_logger_mt<log_level, std::string>;

boost::shared_ptr<sink> running_sink;

std::string_view level_name(log_level level)
{
    switch (level)
    {
    case log_level::trace:
        return "trace";
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    case log_level::fatal:
        return "fatal";
    }
    return "error";
}

std::optional<log_level> level_named(std::string_view name)
{
    for (log_level const level :
         {log_level::trace, log_level::debug, log_level::info,
          log_level::warning, log_level::error, log_level::fatal})
        if (level_name(level) == name)
            return level;
    return std::nullopt;
}

std::string time_text(bl::record_view const& record)
{
    auto const stamp =
        bl::extract<boost::posix_time::ptime>("TimeStamp", record);
    return stamp ? boost::posix_time::to_iso_extended_string(*stamp) : "";
}

/// Ends the record with a line feed. Without it the sink would write the line
/// feed separately from the record, so that write_line() could come in between.
void end_record(bl::formatting_ostream& out)
{
    out << "\n";
}

void write_text(bl::record_view const& record, bl::formatting_ostream& out)
{
    auto const level = bl::extract<log_level>("Severity", record);
    auto const part = bl::extract<std::string>("Channel", record);
    out << time_text(record) << " " << level_name(*level) << " [" << *part
        << "] " << *bl::extract<std::string>("Message", record);
    auto const fields = bl::extract<std::string>("Fields", record);
    if (fields && !fields->empty())
        out << " {" << *fields << "}";
    end_record(out);
}

void write_json(std::string const& vm, bl::record_view const& record,
                bl::formatting_ostream& out)
{
    Json::Value line;
    line["time"] = time_text(record);
    line["level"] =
        std::string(level_name(*bl::extract<log_level>("Severity", record)));
    line["vm"] = vm;
    line["part"] = *bl::extract<std::string>("Channel", record);
    line["text"] = *bl::extract<std::string>("Message", record);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    std::string text = Json::writeString(builder, line);
    auto const fields = bl::extract<std::string>("Fields", record);
    if (fields && !fields->empty())
    {
        text.pop_back();
        text += "," + *fields + "}";
    }
    out << text;
    end_record(out);
}

} // namespace

void start_logging(std::string_view vm, std::string_view level,
                   std::string_view format)
{
    auto const min_level = level_named(level);
    if (!min_level)
        throw std::invalid_argument("unknown log level: " + std::string(level));
    if (format != "text" && format != "json")
        throw std::invalid_argument("unknown log format: " +
                                    std::string(format));
    auto stream = boost::make_shared<backend>();
    stream->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    stream->auto_flush(true);
    running_sink = boost::make_shared<sink>(stream);
    if (format == "json")
        running_sink->set_formatter(
            [name = std::string(vm)](bl::record_view const& record,
                                     bl::formatting_ostream& out)
            { write_json(name, record, out); });
    else
        running_sink->set_formatter(&write_text);
    running_sink->set_filter(bl::expressions::attr<log_level>("Severity") >=
                             *min_level);
    bl::core::get()->add_global_attribute("TimeStamp",
                                          bl::attributes::utc_clock());
    bl::core::get()->add_sink(running_sink);
}

// The text and its line feed are written together: with two writes the sink's
// thread could put a record between them, and the program that waits for the
// line could not parse it. The stream is unbuffered and does not split a
// single write, so each line and each record (see end_record()) is one write.
void write_line(std::string const& line)
{
    std::cout << line + "\n" << std::flush;
}

void stop_logging()
{
    if (!running_sink)
        return;
    bl::core::get()->remove_sink(running_sink);
    running_sink->stop();
    running_sink->flush();
    running_sink.reset();
}

void log(log_level level, std::string_view part, std::string_view text)
{
    // Without a sink Boost.Log would print to the console in its default
    // format. Tests and tools that do not start logging must print nothing.
    if (!running_sink)
        return;
    thread_local logger source;
    BOOST_LOG_CHANNEL_SEV(source, std::string(part), level)
        << std::string(text);
}

void log_event(log_level level, std::string_view part, std::string_view event,
               std::string const& fields)
{
    if (!running_sink)
        return;
    thread_local logger source;
    BOOST_LOG_CHANNEL_SEV(source, std::string(part), level)
        << bl::add_value("Fields", fields) << std::string(event);
}

} // namespace mulberry
