// The command `confirm`.
#include "ctl_commands.hpp"
#include "ctl_text.hpp"
#include "plan_file.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <ostream>

namespace mulberry
{
namespace
{

constexpr std::chrono::seconds read_back_interval{1};
constexpr char const* unknown_outcome = "outcome_unknown";
constexpr char const* outdated_plan = "plan_outdated";

/// The configuration in force according to one VM.
struct confirmed_configuration
{
    std::uint64_t version = 0;
    std::string digest;
};

Json::Value confirm_parameters(plan_file const& plan)
{
    Json::Value parameters(Json::objectValue);
    parameters["base"] = static_cast<Json::UInt64>(plan.base.value());
    parameters["digest"] = plan.digest;
    parameters["declaration"] = plan.declaration;
    return parameters;
}

// True if the answer of the VM was lost, and also if the VM itself lost the
// answer of the table: its error then says that the write may have taken
// effect.
bool may_have_run(operator_call_failure const& failure)
{
    if (failure.reason() == operator_call_failure::kind::outcome_unknown)
        return true;
    Json::Value const& data = failure.data();
    if (failure.reason() != operator_call_failure::kind::refused ||
        !data.isObject())
        return false;
    return data["ran"] == "unknown" || data["kind"] == unknown_outcome;
}

class confirmation
{
public:
    confirmation(plan_file plan, ctl_options const& options,
                 ctl_context const& context)
        : plan_(std::move(plan)), options_(options), context_(context)
    {
    }

    ctl_exit run()
    {
        try
        {
            Json::Value const result = context_.client.call(
                "confirm", confirm_parameters(plan_), resend::never);
            return report_in_force(result["version"].asUInt64(), "");
        }
        catch (operator_call_failure const& failure)
        {
            if (!may_have_run(failure))
                throw;
            context_.err << "the answer was lost (" << failure.what()
                         << "); reading the configuration back\n";
        }
        return read_back();
    }

private:
    // A VM may answer with a stale configuration, so the base version does not
    // prove that the plan failed and is polled again until the deadline. A
    // newer version is proof.
    ctl_exit read_back()
    {
        auto const deadline = context_.clock.now() + options_.timeout;
        while (true)
        {
            auto const found = read_configuration();
            if (found && found->digest == plan_.digest)
                return report_in_force(found->version, " (read back)");
            if (found && found->version > plan_.base.value())
                return report_other_version(found->version);
            if (context_.clock.now() >= deadline)
                return report_unknown();
            context_.err << "not yet in force; asking again\n";
            context_.clock.sleep_until(context_.clock.now() +
                                       read_back_interval);
        }
    }

    std::optional<confirmed_configuration> read_configuration()
    {
        try
        {
            Json::Value const result = context_.client.call(
                "configuration", Json::Value(Json::objectValue),
                resend::allowed);
            return confirmed_configuration{
                result["version"].asUInt64(),
                digest_of(result["declaration"].asString())};
        }
        catch (operator_call_failure const& failure)
        {
            context_.err << failure.what() << "\n";
            return std::nullopt;
        }
    }

    ctl_exit report_in_force(std::uint64_t version, std::string_view suffix)
    {
        if (options_.json)
        {
            Json::Value json(Json::objectValue);
            json["version"] = static_cast<Json::UInt64>(version);
            context_.out << pretty_json(json);
        }
        else
            context_.out << fmt::format("version {} is in force{}\n", version,
                                        suffix);
        return ctl_exit::ok;
    }

    // A confirm takes effect only on the plan's base version, so if the next
    // version is another operator's, this plan never takes effect. A later
    // version proves nothing: the plan may have been in force before it.
    ctl_exit report_other_version(std::uint64_t version)
    {
        if (version == plan_.base.value() + 1)
            return report_failure(
                fmt::format("refused: another operator's version {} came "
                            "first; plan again",
                            version),
                outdated_plan, "no", ctl_exit::refused);
        return report_failure(
            fmt::format("version {} is in force, which is not this plan; "
                        "whether the plan was in force before is not known. "
                        "Plan again.",
                        version),
            unknown_outcome, "unknown", ctl_exit::outcome_unknown);
    }

    ctl_exit report_unknown()
    {
        return report_failure(
            fmt::format("outcome unknown: version {} was still in force when "
                        "last read, but the change may yet take effect. Check "
                        "with `mulberryctl configuration` before you plan "
                        "again.",
                        plan_.base.value()),
            unknown_outcome, "unknown", ctl_exit::outcome_unknown);
    }

    /// Reports the result of reading back in the form of a VM's error.
    ctl_exit report_failure(std::string const& message, char const* kind,
                            char const* ran, ctl_exit result)
    {
        context_.err << message << "\n";
        if (options_.json)
        {
            Json::Value data(Json::objectValue);
            data["kind"] = kind;
            data["ran"] = ran;
            context_.out << pretty_json(refusal_json(message, data));
        }
        return result;
    }

    plan_file plan_;
    ctl_options const& options_;
    ctl_context const& context_;
};

} // namespace

ctl_exit run_confirm(ctl_options const& options, ctl_context const& context)
{
    std::string const& file = options.arguments.front();
    auto const parsed = parse_plan_file(read_file(file), file);
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
    {
        for (text_fault const& fault : *faults)
            context.err << fault.str() << "\n";
        return ctl_exit::faults;
    }
    return confirmation(std::get<plan_file>(parsed), options, context).run();
}

} // namespace mulberry
