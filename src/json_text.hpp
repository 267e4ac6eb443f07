/// Helpers over jsoncpp for machine-readable JSON.
///
/// Thread safety: all functions may be called from any thread.
#ifndef MULBERRY_JSON_TEXT_HPP
#define MULBERRY_JSON_TEXT_HPP

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Returns `value` as compact JSON on one line.
std::string to_text(Json::Value const& value);
/// Parses strict JSON with an object or array at the top. Returns nothing if
/// `text` is invalid or nested too deeply.
std::optional<Json::Value> from_text(std::string_view text);

/// Return the member `key` of `object`, or `otherwise` if the member is missing
/// or has another type, or if `object` is not an object.
std::string text_or(Json::Value const& object, char const* key,
                    std::string const& otherwise);
std::uint64_t number_or(Json::Value const& object, char const* key,
                        std::uint64_t otherwise);
bool flag_or(Json::Value const& object, char const* key, bool otherwise);

} // namespace mulberry

#endif
