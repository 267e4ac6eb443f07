#include "configuration_row.hpp"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <memory>

namespace mulberry
{
namespace
{

std::optional<configuration_row> parse(table_row const& row)
{
    Json::CharReaderBuilder const builder;
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    Json::Value root;
    char const* const begin = row.value.data();
    if (!reader->parse(begin, begin + row.value.size(), &root, nullptr))
        return std::nullopt;
    if (!root.isObject() || !root["version"].isUInt64())
        return std::nullopt;
    for (char const* key : {"token", "digest", "object"})
        if (!root[key].isString())
            return std::nullopt;
    return configuration_row{row.version, root["token"].asString(),
                             config_version(root["version"].asUInt64()),
                             root["digest"].asString(),
                             root["object"].asString()};
}

} // namespace

std::string const& configuration_key()
{
    static std::string const key = "configuration";
    return key;
}

std::string confirmed_key(config_version version)
{
    return "confirmed/" + std::to_string(version.value());
}

std::string declaration_key(std::string const& digest)
{
    return "declarations/" + digest;
}

std::optional<configuration_row>
find_configuration_row(std::vector<table_row> const& rows,
                       std::string const& key)
{
    for (table_row const& row : rows)
        if (row.key == key && !row.version.none())
            return parse(row);
    return configuration_row();
}

std::string write_configuration_row(configuration_row const& row)
{
    Json::Value root(Json::objectValue);
    root["token"] = row.token;
    root["version"] = Json::Value::UInt64(row.version.value());
    root["digest"] = row.digest;
    root["object"] = row.object;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

table_transaction linearizable_read(std::vector<std::string> const& keys)
{
    table_transaction read;
    for (std::string const& key : keys)
        read.conditions.push_back({key, row_version()});
    return read;
}

} // namespace mulberry
