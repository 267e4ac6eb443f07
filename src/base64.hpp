/// Base64 as in RFC 4648, with padding.
#ifndef MULBERRY_BASE64_HPP
#define MULBERRY_BASE64_HPP

#include <optional>
#include <string>

namespace mulberry
{

std::string to_base64(std::string const& bytes);
/// Returns nullopt if the text is not valid Base64.
std::optional<std::string> from_base64(std::string const& text);

} // namespace mulberry

#endif
