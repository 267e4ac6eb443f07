#include "team_key.hpp"

#include "declaration_text.hpp"

#include <algorithm>
#include <cstddef>

namespace mulberry
{
namespace
{

constexpr std::string_view bearer_scheme = "bearer";
constexpr std::size_t max_key_size = 4096;
constexpr std::size_t fingerprint_digits = 8;

bool is_token_character(char each)
{
    return each > ' ' && each < '\x7f' && each != ',' && each != '"';
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Returns the token after the scheme; empty if `field` is not valid.
std::string_view bearer_token(std::string_view field)
{
    std::string_view const text = trim(field);
    auto const space = text.find(' ');
    if (space == std::string_view::npos ||
        !same_header_name(text.substr(0, space), bearer_scheme))
        return {};
    std::string_view const token = trim(text.substr(space));
    bool const valid =
        token.size() <= max_key_size &&
        std::all_of(token.begin(), token.end(), is_token_character);
    return valid ? token : std::string_view();
}

} // namespace

key_digest digest_of_key(std::string_view key)
{
    return key_digest(digest_of(key));
}

std::string fingerprint(key_digest const& key)
{
    return key.str().substr(0, fingerprint_digits);
}

std::optional<key_digest> caller_key(http_headers const& headers)
{
    std::string const* authorization = nullptr;
    for (auto const& [name, value] : headers.fields())
    {
        if (!same_header_name(name, authorization_header))
            continue;
        // Two keys may belong to two teams, so that the team is ambiguous.
        if (authorization != nullptr)
            return std::nullopt;
        authorization = &value;
    }
    std::string_view const token = authorization == nullptr
                                       ? std::string_view()
                                       : bearer_token(*authorization);
    if (token.empty())
        return std::nullopt;
    return digest_of_key(token);
}

} // namespace mulberry
