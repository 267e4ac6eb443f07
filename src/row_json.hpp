/// Parses and writes the JSON texts of table rows. All functions are thread
/// safe.
#ifndef MULBERRY_ROW_JSON_HPP
#define MULBERRY_ROW_JSON_HPP

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace mulberry
{

/// The JSON object in a row's text; none when the text is not a JSON object.
std::optional<Json::Value> parse_row_text(std::string const& text);

/// One line of JSON with the keys in alphabetical order.
std::string to_row_text(Json::Value const& object);

/// The value of the member `name`; none when the member is missing or has
/// another type. Precondition: `object` is a JSON object.
std::optional<std::string> text_member(Json::Value const& object,
                                       char const* name);
std::optional<std::uint64_t> number_member(Json::Value const& object,
                                           char const* name);
std::optional<bool> flag_member(Json::Value const& object, char const* name);

} // namespace mulberry

#endif
