/// HTTP messages as value types, independent of the HTTP libraries.
#ifndef MULBERRY_HTTP_MESSAGE_HPP
#define MULBERRY_HTTP_MESSAGE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberry
{

/// Whether two header names are equal; case-insensitive.
bool same_header_name(std::string_view a, std::string_view b);

/// Whether a field concerns one connection or the framing of one message
/// (hop-by-hop fields, Host, Content-Length). The server and the client write
/// these fields themselves and skip them in the headers passed to them, so that
/// the headers of a received message can be forwarded unchanged.
bool is_connection_header(std::string_view name);

/// Whether the text is a token, as names of fields must be: visible ASCII
/// characters without separators. A name with a blank, also before its colon,
/// is read differently by different programs.
bool is_token(std::string_view text);

/// Whether a message with this value of Transfer-Encoding can be read: only the
/// chunked encoding, once.
bool is_chunked_only(std::string_view value);

/// Whether a field can be written without header injection: no line breaks or
/// NUL, no colon in the name, and a name that is not empty.
bool is_safe_header(std::string_view name, std::string_view value);

/// Header fields in the order received. Names are case-insensitive.
class http_headers
{
public:
    void add(std::string name, std::string value);
    /// The first field of that name, if any.
    std::optional<std::string> find(std::string_view name) const;
    std::vector<std::pair<std::string, std::string>> const& fields() const
    {
        return fields_;
    }
    friend bool operator==(http_headers const&, http_headers const&) = default;

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

struct http_request
{
    std::string method;
    /// Without the query.
    std::string path;
    /// Without the question mark; still percent-encoded.
    std::string query;
    http_headers headers;
    std::string body;
    /// The IP address of the peer; empty if unknown.
    std::string caller;

    /// The first query parameter of that name, percent-decoded; empty if it has
    /// no value, nullopt if it is absent.
    std::optional<std::string> parameter(std::string_view name) const;
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
};

/// A response with a JSON body and its content type.
http_response json_response(int status, std::string body);

/// Encodes every byte except letters, digits, `-`, `.`, `_` and `~`.
std::string percent_encode(std::string_view text);
/// Leaves an escape without two hexadecimal digits unchanged.
std::string percent_decode(std::string_view text);

} // namespace mulberry

#endif
