#include "quarter_row.hpp"

#include "row_json.hpp"

#include <charconv>
#include <string_view>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::string_view sum_name = "sum";

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsed_end != end)
        return std::nullopt;
    return value;
}

Json::Value microseconds(duration span)
{
    return Json::UInt64(static_cast<std::uint64_t>(span.count()));
}

std::optional<duration> duration_member(Json::Value const& object,
                                        char const* name)
{
    auto const count = number_member(object, name);
    if (!count)
        return std::nullopt;
    return duration(static_cast<duration::rep>(*count));
}

Json::Value counts_json(quarter_counts const& counts)
{
    Json::Value json(Json::objectValue);
    json["requests"] = Json::UInt64(counts.requests);
    json["stalled"] = Json::UInt64(counts.stalled);
    json["busy_us"] = microseconds(counts.busy_slot_time);
    json["open_us"] = microseconds(counts.open_slot_time);
    json["bounds"] = Json::Value(Json::objectValue);
    for (auto const& [bound, each] : counts.bounds)
    {
        Json::Value& bound_json = json["bounds"][std::to_string(bound.count())];
        bound_json["counted"] = Json::UInt64(each.counted);
        bound_json["within"] = Json::UInt64(each.within);
    }
    return json;
}

std::optional<std::map<duration, bound_counts>>
bounds_from(Json::Value const& json)
{
    if (!json.isObject())
        return std::nullopt;
    std::map<duration, bound_counts> bounds;
    for (std::string const& name : json.getMemberNames())
    {
        auto const bound = parse_number(name);
        Json::Value const& each = json[name];
        if (!bound || !each.isObject())
            return std::nullopt;
        auto const counted = number_member(each, "counted");
        auto const within = number_member(each, "within");
        if (!counted || !within)
            return std::nullopt;
        bounds[duration(static_cast<duration::rep>(*bound))] = {*counted,
                                                                *within};
    }
    return bounds;
}

std::optional<quarter_counts> counts_from(Json::Value const& json)
{
    if (!json.isObject())
        return std::nullopt;
    auto const requests = number_member(json, "requests");
    auto const stalled = number_member(json, "stalled");
    auto const busy = duration_member(json, "busy_us");
    auto const open = duration_member(json, "open_us");
    auto bounds = bounds_from(json["bounds"]);
    if (!requests || !stalled || !busy || !open || !bounds)
        return std::nullopt;
    return quarter_counts{*requests, *stalled, std::move(*bounds), *busy,
                          *open};
}

} // namespace

std::string quarter_key::str() const
{
    std::string const begin = quarter_prefix + quarter + "/";
    if (is_sum())
        return begin + std::string(sum_name);
    return begin + vm.str() + "/" + std::to_string(incarnation_number.value());
}

std::optional<quarter_key> parse_quarter_key(std::string const& text)
{
    std::string_view rest = text;
    std::string_view const prefix = quarter_prefix;
    if (!rest.starts_with(prefix))
        return std::nullopt;
    rest.remove_prefix(prefix.size());
    std::size_t const quarter_end = rest.find('/');
    if (quarter_end == 0 || quarter_end == std::string_view::npos)
        return std::nullopt;
    std::string const quarter(rest.substr(0, quarter_end));
    rest.remove_prefix(quarter_end + 1);
    if (rest == sum_name)
        return quarter_key{quarter, {}, {}};
    std::size_t const vm_end = rest.rfind('/');
    if (vm_end == 0 || vm_end == std::string_view::npos)
        return std::nullopt;
    auto const incarnation_number = parse_number(rest.substr(vm_end + 1));
    if (!incarnation_number)
        return std::nullopt;
    return quarter_key{quarter, vm_id(std::string(rest.substr(0, vm_end))),
                       incarnation(*incarnation_number)};
}

std::string encode(quarter_row const& row)
{
    Json::Value json(Json::objectValue);
    json["write"] = Json::UInt64(row.write_number);
    json["applications"] = Json::Value(Json::objectValue);
    for (auto const& [application, counts] : row.totals)
        json["applications"][application.str()] = counts_json(counts);
    return to_row_text(json);
}

std::optional<quarter_row> decode_quarter_row(std::string const& text)
{
    auto const json = parse_row_text(text);
    if (!json)
        return std::nullopt;
    auto const write_number = number_member(*json, "write");
    Json::Value const& applications = (*json)["applications"];
    if (!write_number || !applications.isObject())
        return std::nullopt;
    quarter_row row;
    row.write_number = *write_number;
    for (std::string const& name : applications.getMemberNames())
    {
        auto counts = counts_from(applications[name]);
        if (!counts)
            return std::nullopt;
        row.totals.emplace(application_id(name), std::move(*counts));
    }
    return row;
}

} // namespace mulberry
