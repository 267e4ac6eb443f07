/// JSON helpers of the stand-ins' HTTP listeners.
#ifndef MULBERRY_JSON_TEXT_HPP
#define MULBERRY_JSON_TEXT_HPP

#include "http_message.hpp"

#include <json/json.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace mulberry::standins
{

/// The request is malformed; answered with 400.
class bad_request : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses a JSON object; comments are allowed. Throws bad_request.
Json::Value parse_object(std::string_view text);
std::string to_text(Json::Value const& value);
/// Returns the text as a JSON string literal with quotes.
std::string quoted(std::string_view text);
http_response reply(int status, Json::Value const& body);
/// Returns a response with the body {"error": {"code": ...}}.
http_response error_reply(int status, std::string_view code);
/// Returns a query parameter as a non-negative number, 0 if absent. Throws
/// bad_request if the value is not a number.
std::uint64_t number_parameter(http_request const& request,
                               std::string_view name);

} // namespace mulberry::standins

#endif
