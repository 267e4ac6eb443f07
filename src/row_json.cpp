#include "row_json.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>

namespace mulberry
{
namespace
{

std::unique_ptr<Json::CharReader> strict_reader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

Json::StreamWriterBuilder compact_writer()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
}

} // namespace

std::optional<Json::Value> parse_row_text(std::string const& text)
{
    thread_local std::unique_ptr<Json::CharReader> const reader =
        strict_reader();
    Json::Value root;
    try
    {
        char const* const begin = text.data();
        if (!reader->parse(begin, begin + text.size(), &root, nullptr))
            return std::nullopt;
    }
    catch (Json::Exception const&)
    {
        return std::nullopt;
    }
    if (!root.isObject())
        return std::nullopt;
    return root;
}

std::string to_row_text(Json::Value const& object)
{
    thread_local std::unique_ptr<Json::StreamWriter> const writer(
        compact_writer().newStreamWriter());
    std::ostringstream text;
    writer->write(object, &text);
    return text.str();
}

std::optional<std::string> text_member(Json::Value const& object,
                                       char const* name)
{
    Json::Value const& value = object[name];
    if (!value.isString())
        return std::nullopt;
    return value.asString();
}

std::optional<std::uint64_t> number_member(Json::Value const& object,
                                           char const* name)
{
    Json::Value const& value = object[name];
    if (!value.isUInt64())
        return std::nullopt;
    return value.asUInt64();
}

std::optional<bool> flag_member(Json::Value const& object, char const* name)
{
    Json::Value const& value = object[name];
    if (!value.isBool())
        return std::nullopt;
    return value.asBool();
}

} // namespace mulberry
