// The command `check`.
#include "ctl_commands.hpp"
#include "ctl_text.hpp"
#include "json_reader.hpp"
#include "plan.hpp"
#include "settings.hpp"

#include <fmt/format.h>

#include <ostream>
#include <variant>

namespace mulberry
{
namespace
{

/// The result of checking one file; `summary` is empty if the file has faults.
struct checked_file
{
    std::string summary;
    std::vector<text_fault> faults;
};

bool is_settings(std::string_view text, std::string const& file)
{
    json_document const document(text, file);
    return document.root().isObject() && (document.root().isMember("vm") ||
                                          document.root().isMember("callers"));
}

checked_file check_settings(std::string_view text, std::string const& file)
{
    auto const parsed = parse_settings(text, file);
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
        return {"", *faults};
    auto const& value = std::get<settings>(parsed);
    return {fmt::format("settings of VM {} in {}", value.vm.str(),
                        value.domain.str()),
            {}};
}

std::vector<text_fault> capacity_faults(declaration const& value,
                                        std::string const& file)
{
    plan const evaluated_plan =
        make_plan({}, config_version(), value, {}, duration::zero());
    std::vector<text_fault> faults;
    for (std::string const& obstacle : evaluated_plan.obstacles)
        faults.push_back({file, 1, "ready", obstacle});
    return faults;
}

checked_file check_declaration(std::string_view text, std::string const& file)
{
    auto const parsed = parse_declaration(text, file);
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
        return {"", *faults};
    auto const& value = std::get<declaration>(parsed);
    return {fmt::format("declaration of {}: {} workers, {} adapters, {} ready, "
                        "{} services, {} targets",
                        value.deployment, value.workers.size(),
                        value.adapters.size(), value.ready.size(),
                        value.services.size(), value.targets.size()),
            capacity_faults(value, file)};
}

Json::Value fault_json(text_fault const& fault)
{
    Json::Value json(Json::objectValue);
    json["file"] = fault.file;
    json["line"] = static_cast<Json::UInt64>(fault.line);
    json["key"] = fault.key;
    json["text"] = fault.text;
    return json;
}

} // namespace

ctl_exit run_check(ctl_options const& options, std::ostream& out,
                   std::ostream& err)
{
    Json::Value all_faults(Json::arrayValue);
    for (std::string const& file : options.arguments)
    {
        std::string const text = read_file(file);
        checked_file const checked = is_settings(text, file)
                                         ? check_settings(text, file)
                                         : check_declaration(text, file);
        for (text_fault const& fault : checked.faults)
        {
            all_faults.append(fault_json(fault));
            if (!options.json)
                err << fault.str() << "\n";
        }
        if (checked.faults.empty() && !options.json)
            out << file << ": ok, " << checked.summary << "\n";
    }
    if (options.json)
    {
        Json::Value result(Json::objectValue);
        result["faults"] = all_faults;
        out << pretty_json(result);
    }
    return all_faults.empty() ? ctl_exit::ok : ctl_exit::faults;
}

} // namespace mulberry
