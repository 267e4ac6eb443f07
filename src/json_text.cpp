#include "json_text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <exception>
#include <memory>

namespace mulberry
{
namespace
{

constexpr int deepest_nesting = 64;

Json::CharReaderBuilder const& strict_reader()
{
    static Json::CharReaderBuilder const builder = []
    {
        Json::CharReaderBuilder strict;
        Json::CharReaderBuilder::strictMode(&strict.settings_);
        strict.settings_["stackLimit"] = deepest_nesting;
        strict.settings_["failIfExtra"] = true;
        // Strict mode asks for an object or array at the top.
        return strict;
    }();
    return builder;
}

Json::StreamWriterBuilder const& compact_writer()
{
    static Json::StreamWriterBuilder const builder = []
    {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        compact["emitUTF8"] = true;
        return compact;
    }();
    return builder;
}

} // namespace

std::string to_text(Json::Value const& value)
{
    return Json::writeString(compact_writer(), value);
}

std::optional<Json::Value> from_text(std::string_view text)
{
    // jsoncpp throws beyond its stack limit; to the reader of a hostile body
    // that is one more way of not being JSON.
    try
    {
        std::unique_ptr<Json::CharReader> const reader(
            strict_reader().newCharReader());
        Json::Value value;
        std::string faults;
        if (!reader->parse(text.data(), text.data() + text.size(), &value,
                           &faults))
            return std::nullopt;
        return value;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

std::string text_or(Json::Value const& object, char const* key,
                    std::string const& otherwise)
{
    if (!object.isObject() || !object[key].isString())
        return otherwise;
    return object[key].asString();
}

std::uint64_t number_or(Json::Value const& object, char const* key,
                        std::uint64_t otherwise)
{
    if (!object.isObject() || !object[key].isUInt64())
        return otherwise;
    return object[key].asUInt64();
}

bool flag_or(Json::Value const& object, char const* key, bool otherwise)
{
    if (!object.isObject() || !object[key].isBool())
        return otherwise;
    return object[key].asBool();
}

} // namespace mulberry
