/// Reading and writing the JSON texts of the table's rows.
#ifndef MULBERRY_ROW_JSON_HPP
#define MULBERRY_ROW_JSON_HPP

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace mulberry
{

/// The object that a row's text holds; none for anything else.
std::optional<Json::Value> parse_row_text(std::string const& text);

/// One line of JSON, keys in alphabetical order.
std::string to_row_text(Json::Value const& object);

/// The member of that name and type. Precondition: `object` is an object.
std::optional<std::string> text_member(Json::Value const& object,
                                       char const* name);
std::optional<std::uint64_t> number_member(Json::Value const& object,
                                           char const* name);
std::optional<bool> flag_member(Json::Value const& object, char const* name);

} // namespace mulberry

#endif
