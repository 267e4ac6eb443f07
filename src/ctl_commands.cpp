#include "ctl_commands.hpp"
#include "ctl_text.hpp"
#include "declaration_text.hpp"
#include "json_reader.hpp"
#include "plan_file.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iterator>
#include <map>
#include <ostream>
#include <utility>

namespace mulberry
{
namespace
{

using namespace std::chrono_literals;

constexpr auto poll_interval = 1s;
constexpr Json::UInt64 events_per_call = 1000;

Json::Value no_parameters()
{
    return Json::Value(Json::objectValue);
}

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text << std::flush;
    if (!file)
        throw file_failure(path + ": cannot be written");
}

ctl_exit print_faults(std::vector<text_fault> const& faults, std::ostream& err)
{
    for (text_fault const& fault : faults)
        err << fault.str() << "\n";
    return ctl_exit::faults;
}

void save_plan(ctl_options const& options, Json::Value const& answer,
               std::ostream& err)
{
    Json::Value const& plan = answer["plan"];
    write_file(options.output,
               write_plan_file({config_version(plan["base"].asUInt64()),
                                plan["digest"].asString(),
                                answer["declaration"].asString(), plan}));
    err << "Nothing has changed yet. To put this plan in force:\n"
        << "  mulberryctl confirm " << options.output << "\n";
}

// The declaration is parsed here first, so that faults are reported with their
// line numbers and only files without faults are sent to a VM.
ctl_exit run_plan(ctl_options const& options, ctl_context const& context)
{
    std::string const& file = options.arguments.front();
    std::string const text = read_file(file);
    auto const parsed = parse_declaration(text, file);
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
        return print_faults(*faults, context.err);
    Json::Value parameters(Json::objectValue);
    parameters["declaration"] = text;
    Json::Value const answer =
        context.client.call("plan", parameters, resend::allowed);
    Json::Value const& plan = answer["plan"];
    context.out << (options.json ? pretty_json(plan)
                                 : plan["summary"].asString());
    if (!plan["feasible"].asBool())
    {
        context.err << "The plan does not fit and cannot be confirmed.\n";
        return ctl_exit::refused;
    }
    if (!options.output.empty())
        save_plan(options, answer, context.err);
    else
        context.err << "Nothing has changed. Save the plan with --output FILE "
                       "to confirm it.\n";
    return ctl_exit::ok;
}

Json::Value read_status(ctl_context const& context, bool all)
{
    Json::Value parameters(Json::objectValue);
    parameters["all"] = all;
    return context.client.call("status", parameters, resend::allowed);
}

ctl_exit run_status(ctl_options const& options, ctl_context const& context)
{
    Json::Value const status = read_status(context, options.all);
    context.out << (options.json ? pretty_json(status) : status_text(status));
    return ctl_exit::ok;
}

ctl_exit run_configuration(ctl_options const& options,
                           ctl_context const& context)
{
    Json::Value const answer =
        context.client.call("configuration", no_parameters(), resend::allowed);
    auto const version = answer["version"].asUInt64();
    std::string const text = answer["declaration"].asString();
    if (options.json)
        context.out << pretty_json(answer);
    else if (version == 0)
        context.err << "no configuration has been confirmed yet\n";
    else
    {
        json_document const document(text, "configuration");
        context.out << "// version " << version << "\n"
                    << pretty_json(document.root());
    }
    return ctl_exit::ok;
}

ctl_exit run_targets(ctl_options const& options, ctl_context const& context)
{
    Json::Value const targets =
        context.client.call("targets", no_parameters(), resend::allowed);
    context.out << (options.json ? pretty_json(targets)
                                 : targets_text(targets));
    return ctl_exit::ok;
}

/// The state of a VM in an answer to `status`; empty when the VM is not listed.
std::string vm_state(Json::Value const& status, std::string const& vm)
{
    for (Json::Value const& each : status["vms"])
        if (each["vm"] == vm)
            return each["state"].asString();
    for (Json::Value const& each : status["unreachable"])
        if (each == vm)
            return "unreachable";
    return "";
}

bool has_left(std::string const& state)
{
    return state.empty() || state == "closed" || state == "expired";
}

ctl_exit wait_until_left(ctl_options const& options, ctl_context const& context)
{
    std::string const& vm = options.arguments.front();
    auto const deadline = context.clock.now() + options.wait_limit;
    while (context.clock.now() < deadline)
    {
        std::string state = "unknown";
        try
        {
            state = vm_state(read_status(context, true), vm);
        }
        catch (operator_call_failure const& failure)
        {
            context.err << failure.what() << "\n";
        }
        if (has_left(state))
        {
            context.out << vm << " has left\n";
            return ctl_exit::ok;
        }
        auto const left = std::chrono::ceil<std::chrono::seconds>(
            deadline - context.clock.now());
        context.err << fmt::format("{}: {}; waiting for up to {} s more\n", vm,
                                   state, left.count());
        context.clock.sleep_until(context.clock.now() + poll_interval);
    }
    context.err << vm << " has not left in time; it is still leaving\n";
    return ctl_exit::outcome_unknown;
}

// Draining is idempotent, so the call may be sent again.
ctl_exit run_drain(ctl_options const& options, ctl_context const& context)
{
    Json::Value parameters(Json::objectValue);
    parameters["vm"] = options.arguments.front();
    Json::Value const answer =
        context.client.call("drain", parameters, resend::allowed);
    if (options.wait)
        return wait_until_left(options, context);
    if (options.json)
        context.out << pretty_json(answer);
    else
        context.out << options.arguments.front() << ": "
                    << answer["state"].asString() << "\n";
    return ctl_exit::ok;
}

/// Reads the timeline page by page; each read continues after the last one.
class timeline_reader
{
public:
    explicit timeline_reader(operator_client& client) : client_(client) {}

    /// The next events; empty when there are no newer ones.
    Json::Value next()
    {
        Json::Value parameters(Json::objectValue);
        parameters["after"] = cursor_;
        parameters["limit"] = events_per_call;
        Json::Value answer =
            client_.call("timeline", parameters, resend::allowed);
        cursor_ = answer["cursor"].asString();
        return answer["events"];
    }

    /// Reads to the end and returns the newest events, at most `max_events`.
    Json::Value newest(std::size_t max_events)
    {
        std::deque<Json::Value> recent;
        Json::Value events = next();
        for (; !events.empty(); events = next())
            for (Json::Value const& event : events)
            {
                recent.push_back(event);
                if (recent.size() > max_events)
                    recent.pop_front();
            }
        Json::Value result(Json::arrayValue);
        for (Json::Value& event : recent)
            result.append(std::move(event));
        return result;
    }

private:
    operator_client& client_;
    std::string cursor_;
};

void print_events(Json::Value const& events, bool json, std::ostream& out)
{
    if (!json)
        out << events_text(events);
    else if (!events.empty())
        out << pretty_json(events);
    out << std::flush;
}

ctl_exit run_timeline(ctl_options const& options, ctl_context const& context)
{
    timeline_reader reader(context.client);
    print_events(reader.newest(options.limit), options.json, context.out);
    while (options.follow && context.out)
    {
        context.clock.sleep_until(context.clock.now() + poll_interval);
        try
        {
            print_events(reader.next(), options.json, context.out);
        }
        catch (operator_call_failure const& failure)
        {
            if (failure.reason() == operator_call_failure::kind::refused)
                throw;
            context.err << failure.what() << "; trying again\n";
        }
    }
    return ctl_exit::ok;
}

using command = std::function<ctl_exit(ctl_options const&, ctl_context const&)>;

std::map<std::string, command> const& command_table()
{
    static std::map<std::string, command> const table{
        {"plan", run_plan},        {"confirm", run_confirm},
        {"status", run_status},    {"configuration", run_configuration},
        {"targets", run_targets},  {"drain", run_drain},
        {"timeline", run_timeline}};
    return table;
}

bool changes_deployment(std::string const& command)
{
    return command == "confirm" || command == "drain";
}

ctl_exit exit_code_for(operator_call_failure const& failure,
                       std::string const& command)
{
    switch (failure.reason())
    {
    case operator_call_failure::kind::refused:
        return ctl_exit::refused;
    case operator_call_failure::kind::outcome_unknown:
        if (changes_deployment(command))
            return ctl_exit::outcome_unknown;
        [[fallthrough]];
    default:
        return ctl_exit::unreachable;
    }
}

std::string_view failure_text(operator_call_failure const& failure)
{
    switch (failure.reason())
    {
    case operator_call_failure::kind::unreachable:
        return "no VM can be reached";
    case operator_call_failure::kind::outcome_unknown:
        return "no complete answer was received";
    default:
        return "refused";
    }
}

void report(operator_call_failure const& failure, std::ostream& err)
{
    err << failure_text(failure) << ": " << failure.what() << "\n";
    Json::Value const& data = failure.data();
    if (!data.isObject())
        return;
    for (Json::Value const& change : data["changes"])
        err << "  changed since: "
            << (change.isString() ? change.asString()
                                  : change["key"].asString())
            << "\n";
    if (data["retry_after_ms"].isNumeric())
        err << "  try again in " << data["retry_after_ms"].asInt64() << " ms\n";
}

} // namespace

std::string read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>()};
    if (!file.is_open() || file.bad())
        throw file_failure(path + ": cannot be read");
    return text;
}

ctl_exit run_command(ctl_options const& options, ctl_context const& context)
{
    try
    {
        return command_table().at(options.command)(options, context);
    }
    catch (operator_call_failure const& failure)
    {
        report(failure, context.err);
        if (options.json &&
            failure.reason() == operator_call_failure::kind::refused)
            context.out << pretty_json(
                refusal_json(failure.what(), failure.data()));
        return exit_code_for(failure, options.command);
    }
    catch (file_failure const& failure)
    {
        context.err << failure.what() << "\n";
        return ctl_exit::faults;
    }
    catch (Json::Exception const& failure)
    {
        context.err << "the answer is malformed: " << failure.what() << "\n";
        return changes_deployment(options.command) ? ctl_exit::outcome_unknown
                                                   : ctl_exit::unreachable;
    }
}

} // namespace mulberry
