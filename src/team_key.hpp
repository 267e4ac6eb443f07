/// The API keys with which callers authenticate as a team.
#ifndef MULBERRY_TEAM_KEY_HPP
#define MULBERRY_TEAM_KEY_HPP

#include "http_message.hpp"
#include "ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

inline constexpr char const* authorization_header = "Authorization";

/// Returns the digest that is stored instead of the key. Thread safety: any
/// thread.
key_digest digest_of_key(std::string_view key);

/// Returns the first digits of the digest, for logs. Thread safety: any thread.
std::string fingerprint(key_digest const& key);

/// Returns the digest of the key in a request's Authorization header. Returns
/// nullopt if there is no such header or more than one, if the scheme is not
/// Bearer, or if the key is not a single token of visible ASCII characters or
/// is too long. Thread safety: any thread.
std::optional<key_digest> caller_key(http_headers const& headers);

} // namespace mulberry

#endif
