/// Small helpers over jsoncpp, for texts made and read by programs.
#ifndef MULBERRY_JSON_TEXT_HPP
#define MULBERRY_JSON_TEXT_HPP

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Compact, on one line.
std::string to_text(Json::Value const& value);
/// Strict JSON; nothing if it is not, or nested too deep.
std::optional<Json::Value> from_text(std::string_view text);

/// Members read with a fallback for a missing one or one of another type.
std::string text_or(Json::Value const& object, char const* key,
                    std::string const& otherwise);
std::uint64_t number_or(Json::Value const& object, char const* key,
                        std::uint64_t otherwise);
bool flag_or(Json::Value const& object, char const* key, bool otherwise);

} // namespace mulberry

#endif
