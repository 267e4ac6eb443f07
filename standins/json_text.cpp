#include "json_text.hpp"

#include <charconv>
#include <memory>

namespace mulberry::standins
{

Json::Value parse_object(std::string_view text)
{
    Json::CharReaderBuilder const builder;
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    char const* const end = text.data() + text.size();
    if (!reader->parse(text.data(), end, &value, &errors))
        throw bad_request("not JSON: " + errors);
    if (!value.isObject())
        throw bad_request("not a JSON object");
    return value;
}

std::string to_text(Json::Value const& value)
{
    static Json::StreamWriterBuilder const builder = []
    {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        compact["emitUTF8"] = true;
        return compact;
    }();
    return Json::writeString(builder, value);
}

std::string quoted(std::string_view text)
{
    return to_text(Json::Value(text.data(), text.data() + text.size()));
}

http_response reply(int status, Json::Value const& body)
{
    return json_response(status, to_text(body));
}

http_response error_reply(int status, std::string_view code)
{
    Json::Value body;
    body["error"]["code"] = std::string(code);
    return reply(status, body);
}

std::uint64_t number_parameter(http_request const& request,
                               std::string_view name)
{
    std::string const text = request.parameter(name).value_or("0");
    std::uint64_t number = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        throw bad_request("not a number: " + std::string(name));
    return number;
}

} // namespace mulberry::standins
