#include "worker_row.hpp"

#include "row_json.hpp"

#include <algorithm>
#include <string_view>

namespace mulberry
{
namespace
{

Json::Value suspects_json(std::vector<incarnation_id> const& suspects)
{
    Json::Value list(Json::arrayValue);
    for (incarnation_id const& suspect : suspects)
    {
        Json::Value object(Json::objectValue);
        object["vm"] = suspect.vm.str();
        object["life"] = Json::UInt64(suspect.incarnation_number.value());
        list.append(object);
    }
    return list;
}

std::optional<std::vector<incarnation_id>>
parse_suspects(Json::Value const& list)
{
    if (!list.isArray())
        return std::nullopt;
    std::vector<incarnation_id> suspects;
    for (Json::Value const& object : list)
    {
        if (!object.isObject())
            return std::nullopt;
        auto const vm = text_member(object, "vm");
        auto const incarnation_number = number_member(object, "life");
        if (!vm || !incarnation_number)
            return std::nullopt;
        suspects.push_back({vm_id(*vm), incarnation(*incarnation_number)});
    }
    return suspects;
}

std::optional<std::vector<engine_name>> parse_intents(Json::Value const& list)
{
    if (!list.isArray())
        return std::nullopt;
    std::vector<engine_name> intents;
    for (Json::Value const& name : list)
    {
        if (!name.isString())
            return std::nullopt;
        intents.emplace_back(name.asString());
    }
    return intents;
}

} // namespace

std::string worker_key(worker_id const& worker)
{
    return worker_prefix + worker.str();
}

worker_id worker_of_key(std::string const& key)
{
    return worker_id(key.substr(std::string_view(worker_prefix).size()));
}

std::string to_text(worker_row const& row)
{
    Json::Value object(Json::objectValue);
    object["token"] = row.token;
    object["owner"] = row.owner.vm.str();
    object["life"] = Json::UInt64(row.owner.incarnation_number.value());
    object["fence"] = Json::UInt64(row.fence.value());
    object["suspects"] = suspects_json(row.suspects);
    Json::Value intents(Json::arrayValue);
    for (engine_name const& name : row.intents)
        intents.append(name.str());
    object["intents"] = intents;
    if (row.first_incarnation != worker_start())
        object["started"] = Json::UInt64(row.first_incarnation.value());
    return to_row_text(object);
}

std::optional<worker_row> parse_worker_row(std::string const& text)
{
    auto const object = parse_row_text(text);
    if (!object)
        return std::nullopt;
    auto const token = text_member(*object, "token");
    auto const owner = text_member(*object, "owner");
    auto const incarnation_number = number_member(*object, "life");
    auto const fence = number_member(*object, "fence");
    auto const suspects = parse_suspects((*object)["suspects"]);
    auto const intents = parse_intents((*object)["intents"]);
    auto const started = object->isMember("started")
                             ? number_member(*object, "started")
                             : std::optional(std::uint64_t{0});
    if (!token || !owner || !incarnation_number || !fence || !suspects ||
        !intents || !started)
        return std::nullopt;
    return worker_row{*token,
                      {vm_id(*owner), incarnation(*incarnation_number)},
                      fencing_number(*fence),
                      *suspects,
                      *intents,
                      worker_start(*started)};
}

std::optional<worker_row> read_worker_row(table_row const& row)
{
    auto parsed = parse_worker_row(row.value);
    std::uint64_t const highest = row.version.value();
    auto const assigned = [highest](incarnation_id const& who)
    { return who.incarnation_number.value() <= highest; };
    if (!parsed || parsed->fence.value() > highest ||
        !assigned(parsed->owner) ||
        !std::all_of(parsed->suspects.begin(), parsed->suspects.end(),
                     assigned))
        return std::nullopt;
    return parsed;
}

void add_suspect(worker_row& row, incarnation_id const& suspect)
{
    if (std::find(row.suspects.begin(), row.suspects.end(), suspect) ==
        row.suspects.end())
        row.suspects.push_back(suspect);
}

void add_intent(worker_row& row, engine_name const& name)
{
    if (!has_intent(row, name))
        row.intents.push_back(name);
}

bool has_intent(worker_row const& row, engine_name const& name)
{
    return std::find(row.intents.begin(), row.intents.end(), name) !=
           row.intents.end();
}

} // namespace mulberry
