#include "vm_row.hpp"

#include "row_json.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::array<std::pair<member_state, std::string_view>, 4> state_names{{
    {member_state::live, "live"},
    {member_state::leaving, "leaving"},
    {member_state::closed, "closed"},
    {member_state::expired, "expired"},
}};

/// Used when a row does not state the VM's capacity.
constexpr std::uint64_t default_millicores = 1000;
/// More than any machine has. Limits what a faulty writer can claim.
constexpr std::uint64_t max_millicores = 1'000'000;

std::string name_of(member_state state)
{
    for (auto const& [value, name] : state_names)
        if (value == state)
            return std::string(name);
    return {};
}

std::optional<member_state> parse_state(std::string const& text)
{
    for (auto const& [value, name] : state_names)
        if (name == text)
            return value;
    return std::nullopt;
}

} // namespace

std::string vm_key(vm_id const& vm)
{
    return vm_prefix + vm.str();
}

vm_id vm_of_key(std::string const& key)
{
    return vm_id(key.substr(std::string_view(vm_prefix).size()));
}

std::string to_text(vm_row const& row)
{
    Json::Value object(Json::objectValue);
    object["token"] = row.token;
    object["life"] = Json::UInt64(row.incarnation_number.value());
    object["process_life"] =
        Json::UInt64(row.process_first_incarnation.value());
    object["ended_below"] = Json::UInt64(row.ended_below.value());
    object["address"] = row.address;
    object["domain"] = row.domain.str();
    object["state"] = name_of(row.state);
    object["ready"] = row.ready;
    object["listed"] = row.listed;
    object["beat"] = Json::UInt64(row.renewal_count);
    object["settled"] = Json::UInt64(row.settled_version.value());
    object["stands_by"] = row.stands_by;
    object["millicores"] = row.millicores;
    if (row.cut_off)
        object["cut_off"] = true;
    return to_row_text(object);
}

std::optional<vm_row> parse_vm_row(std::string const& text)
{
    auto const object = parse_row_text(text);
    if (!object)
        return std::nullopt;
    auto const token = text_member(*object, "token");
    auto const incarnation_number = number_member(*object, "life");
    auto const process_first_incarnation =
        number_member(*object, "process_life");
    auto const ended_below = number_member(*object, "ended_below");
    auto const address = text_member(*object, "address");
    auto const domain = text_member(*object, "domain");
    auto const state = text_member(*object, "state");
    auto const ready = flag_member(*object, "ready");
    auto const listed = flag_member(*object, "listed");
    auto const renewal_count = number_member(*object, "beat");
    // Rows written by older versions of the program lack these members.
    auto const settled_version = number_member(*object, "settled");
    auto const stands_by = flag_member(*object, "stands_by");
    auto const millicores = number_member(*object, "millicores");
    auto const cut_off = flag_member(*object, "cut_off");
    if (!token || !incarnation_number || !process_first_incarnation ||
        !ended_below || !address || !domain || !state || !ready || !listed ||
        !renewal_count)
        return std::nullopt;
    auto const known_state = parse_state(*state);
    if (!known_state || *incarnation_number == 0)
        return std::nullopt;
    return vm_row{*token,
                  incarnation(*incarnation_number),
                  incarnation(*process_first_incarnation),
                  incarnation(*ended_below),
                  *address,
                  domain_id(*domain),
                  *known_state,
                  *ready,
                  *listed,
                  *renewal_count,
                  row_version(settled_version.value_or(0)),
                  stands_by.value_or(false),
                  static_cast<unsigned>(std::min<std::uint64_t>(
                      millicores.value_or(default_millicores), max_millicores)),
                  cut_off.value_or(false)};
}

bool is_member(member_state state)
{
    return state == member_state::live || state == member_state::leaving;
}

} // namespace mulberry
