#include "json_text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <exception>
#include <memory>
#include <sstream>
#include <utility>

namespace mulberry
{
namespace
{

constexpr int max_nesting_depth = 64;

std::unique_ptr<Json::CharReader> make_strict_reader()
{
    Json::CharReaderBuilder strict;
    // Strict mode requires an object or array at the top.
    Json::CharReaderBuilder::strictMode(&strict.settings_);
    strict.settings_["stackLimit"] = max_nesting_depth;
    strict.settings_["failIfExtra"] = true;
    return std::unique_ptr<Json::CharReader>(strict.newCharReader());
}

std::unique_ptr<Json::StreamWriter> make_compact_writer()
{
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    compact["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(compact.newStreamWriter());
}

// Creating a reader or writer looks up each setting by name, which costs more
// than parsing the event of one token. Readers and writers keep no state
// between texts, so each thread reuses its own.
Json::CharReader& strict_reader()
{
    thread_local auto const reader = make_strict_reader();
    return *reader;
}

Json::StreamWriter& compact_writer()
{
    thread_local auto const writer = make_compact_writer();
    return *writer;
}

} // namespace

std::string to_text(Json::Value const& value)
{
    std::ostringstream text;
    compact_writer().write(value, &text);
    return std::move(text).str();
}

std::optional<Json::Value> from_text(std::string_view text)
{
    // jsoncpp throws if the nesting exceeds its stack limit. A hostile body can
    // cause that, so it is reported as invalid JSON.
    try
    {
        Json::Value value;
        std::string faults;
        if (!strict_reader().parse(text.data(), text.data() + text.size(),
                                   &value, &faults))
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
