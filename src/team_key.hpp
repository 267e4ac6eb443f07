/// The keys by which callers show whose requests they are.
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

/// What is kept of a key. Any thread.
key_digest digest_of_key(std::string_view key);

/// A short part of the digest, for logs. Any thread.
std::string fingerprint(key_digest const& key);

/// The digest of the key in a request's Authorization field. Nothing without a
/// field, with several, with another scheme than Bearer, or with a text that is
/// no single token of visible ASCII. Any thread.
std::optional<key_digest> caller_key(http_headers const& headers);

} // namespace mulberry

#endif
