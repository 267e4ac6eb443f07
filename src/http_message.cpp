#include "http_message.hpp"

#include <algorithm>
#include <cctype>

namespace mulberry
{

namespace
{

bool equal_ignoring_case(char a, char b)
{
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
}

bool is_unreserved(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

} // namespace

bool same_header_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      equal_ignoring_case);
}

bool is_connection_header(std::string_view name)
{
    static constexpr std::string_view names[] = {"Connection",
                                                 "Content-Length",
                                                 "Expect",
                                                 "Host",
                                                 "Keep-Alive",
                                                 "Proxy-Connection",
                                                 "TE",
                                                 "Trailer",
                                                 "Transfer-Encoding",
                                                 "Upgrade",
                                                 "HTTP2-Settings",
                                                 "Proxy-Authorization",
                                                 "Proxy-Authenticate"};
    return std::any_of(std::begin(names), std::end(names),
                       [name](std::string_view known)
                       { return same_header_name(name, known); });
}

bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [marks](unsigned char c)
                       {
                           return c < 0x80 &&
                                  (std::isalnum(c) != 0 ||
                                   marks.find(char(c)) != marks.npos);
                       });
}

bool is_chunked_only(std::string_view value)
{
    return same_header_name(value, "chunked");
}

bool is_safe_header(std::string_view name, std::string_view value)
{
    constexpr std::string_view forbidden_bytes("\r\n\0", 3);
    return !name.empty() &&
           name.find_first_of(forbidden_bytes) == std::string_view::npos &&
           name.find(':') == std::string_view::npos &&
           value.find_first_of(forbidden_bytes) == std::string_view::npos;
}

void http_headers::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> http_headers::find(std::string_view name) const
{
    for (auto const& [field_name, value] : fields_)
    {
        if (same_header_name(field_name, name))
            return value;
    }
    return std::nullopt;
}

std::optional<std::string> http_request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty())
    {
        std::string_view const pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        std::string_view const key = pair.substr(0, pair.find('='));
        if (percent_decode(key) != name)
            continue;
        std::size_t const value_at = std::min(pair.size(), key.size() + 1);
        return percent_decode(pair.substr(value_at));
    }
    return std::nullopt;
}

http_response json_response(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (char const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (is_unreserved(byte))
        {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xFU];
    }
    return encoded;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        int const high = i + 2 < text.size() ? hex_value(text[i + 1]) : -1;
        int const low = i + 2 < text.size() ? hex_value(text[i + 2]) : -1;
        if (text[i] != '%' || high < 0 || low < 0)
        {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return decoded;
}

} // namespace mulberry
