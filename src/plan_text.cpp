// Plans as text for operators and as JSON.
#include "plan.hpp"

#include <fmt/format.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <map>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Longer groups of changes and lists of loads are shown as their count and
/// their first truncated_group_size entries.
constexpr std::size_t max_group_shown_in_full = 6;
constexpr std::size_t truncated_group_size = 3;
/// Longer values are truncated in the text for operators.
constexpr std::size_t max_value_bytes = 100;
/// Longer lists are truncated in the JSON; their counts are those of the full
/// lists.
constexpr std::size_t max_json_list_entries = 1000;
constexpr std::size_t digest_chars_shown = 12;

std::string_view name_of(plan_change::kind kind)
{
    switch (kind)
    {
    case plan_change::kind::added:
        return "added";
    case plan_change::kind::removed:
        return "removed";
    default:
        return "changed";
    }
}

char sign_of(plan_change::kind kind)
{
    switch (kind)
    {
    case plan_change::kind::added:
        return '+';
    case plan_change::kind::removed:
        return '-';
    default:
        return '~';
    }
}

std::string truncated(std::string const& text)
{
    if (text.size() <= max_value_bytes)
        return text;
    return text.substr(0, max_value_bytes) + "...";
}

std::string section_of(plan_change const& change)
{
    return change.key.substr(0, change.key.find_first_of(".["));
}

std::string line_of(plan_change const& change)
{
    std::string line =
        fmt::format("    {} {}", sign_of(change.what), change.key);
    if (change.what == plan_change::kind::changed)
        return line + fmt::format(": {} -> {}\n", truncated(change.before),
                                  truncated(change.after));
    if (change.what == plan_change::kind::removed)
        return line + "\n";
    return line + (change.after.empty()
                       ? "\n"
                       : ": " + truncated(change.after) + "\n");
}

using change_group = std::vector<plan_change const*>;

std::string group_text(std::string const& section, change_group const& group)
{
    bool const show_all = group.size() <= max_group_shown_in_full;
    std::string text = fmt::format("  {}: {} {}\n", section, group.size(),
                                   name_of(group.front()->what));
    std::size_t const shown = show_all ? group.size() : truncated_group_size;
    for (std::size_t at = 0; at < shown; ++at)
        text += line_of(*group[at]);
    if (!show_all)
        text += fmt::format("    ... and {} more\n", group.size() - shown);
    return text;
}

std::string changes_text(std::vector<plan_change> const& changes)
{
    if (changes.empty())
        return "Changes: none\n";
    std::map<std::pair<std::string, plan_change::kind>, change_group> groups;
    for (plan_change const& change : changes)
        groups[{section_of(change), change.what}].push_back(&change);
    std::string text = fmt::format("Changes: {}\n", changes.size());
    for (auto const& [key, group] : groups)
        text += group_text(key.first, group);
    return text;
}

std::string loads_text(std::string_view title,
                       std::vector<planned_load> const& loads)
{
    if (loads.empty())
        return fmt::format("{}: none\n", title);
    std::string text = fmt::format("{}: {}\n", title, loads.size());
    std::size_t const shown = loads.size() <= max_group_shown_in_full
                                  ? loads.size()
                                  : truncated_group_size;
    for (std::size_t at = 0; at < shown; ++at)
        text += fmt::format("    {} on {}\n", loads[at].adapter.str(),
                            loads[at].worker.str());
    if (shown < loads.size())
        text += fmt::format("    ... and {} more\n", loads.size() - shown);
    return text;
}

std::string time_text(duration time)
{
    double const seconds = std::chrono::duration<double>(time).count();
    if (time == duration::zero())
        return "at once";
    if (seconds < 100)
        return fmt::format("about {:.1f} s", seconds);
    return fmt::format("about {:.0f} min", seconds / 60);
}

Json::Value change_json(plan_change const& change)
{
    Json::Value json(Json::objectValue);
    json["what"] = std::string(name_of(change.what));
    json["key"] = change.key;
    if (change.what != plan_change::kind::added)
        json["before"] = change.before;
    if (change.what != plan_change::kind::removed)
        json["after"] = change.after;
    return json;
}

Json::Value load_json(planned_load const& load)
{
    Json::Value json(Json::objectValue);
    json["worker"] = load.worker.str();
    json["adapter"] = load.adapter.str();
    return json;
}

template <class Item, class Convert>
void add_list(Json::Value& json, std::string const& key,
              std::vector<Item> const& items, Convert const& convert)
{
    Json::Value list(Json::arrayValue);
    for (std::size_t at = 0; at < std::min(items.size(), max_json_list_entries);
         ++at)
        list.append(convert(items[at]));
    json[key] = std::move(list);
    json[key + "_count"] = static_cast<Json::UInt64>(items.size());
}

} // namespace

std::string describe(plan const& value)
{
    std::string text = fmt::format(
        "Plan {} on version {}: {}\n",
        value.digest.substr(0, digest_chars_shown), value.base.value(),
        value.feasible() ? "it fits" : "IT DOES NOT FIT");
    for (std::string const& obstacle : value.obstacles)
        text += "  ! " + obstacle + "\n";
    text += changes_text(value.changes);
    text += loads_text("Loads", value.loads);
    text += loads_text("Evictions", value.evictions);
    text += fmt::format("Ready: {}\n", time_text(value.time_to_ready));
    return text;
}

std::string plan_json(plan const& value)
{
    Json::Value json(Json::objectValue);
    json["base"] = static_cast<Json::UInt64>(value.base.value());
    json["digest"] = value.digest;
    json["feasible"] = value.feasible();
    json["obstacles"] = Json::Value(Json::arrayValue);
    for (std::string const& obstacle : value.obstacles)
        json["obstacles"].append(obstacle);
    add_list(json, "changes", value.changes, change_json);
    add_list(json, "loads", value.loads, load_json);
    add_list(json, "evictions", value.evictions, load_json);
    json["time_to_ready_ms"] = static_cast<Json::Int64>(
        std::chrono::ceil<milliseconds>(value.time_to_ready).count());
    json["summary"] = describe(value);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, json);
}

} // namespace mulberry
