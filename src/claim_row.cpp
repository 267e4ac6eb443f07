#include "claim_row.hpp"

#include "base64.hpp"
#include "declaration_text.hpp"

#include <array>
#include <initializer_list>
#include <json/json.h>
#include <memory>

namespace mulberry
{
namespace
{

constexpr std::array<std::string_view, 4> stage_names{"claimed", "answered",
                                                      "not_run", "unknown"};
constexpr std::string_view hex_digits = "0123456789abcdef";

/// Returns the SHA-256 of the parts, each preceded by its length, so that
/// moving bytes from one part to the next changes the digest.
std::string digest(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (std::string_view const part : parts)
    {
        joined += std::to_string(part.size()) + ':';
        joined += part;
    }
    return digest_of(joined);
}

std::string percent_encode(std::string_view text)
{
    std::string encoded;
    for (char const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        bool const unreserved = (c >= 'a' && c <= 'z') ||
                                (c >= 'A' && c <= 'Z') ||
                                (c >= '0' && c <= '9') || c == '-' ||
                                c == '.' || c == '_' || c == '~';
        if (unreserved)
            encoded += c;
        else
            encoded += {'%', hex_digits[byte >> 4U], hex_digits[byte & 0xfU]};
    }
    return encoded;
}

std::optional<claim_stage> parse_stage(std::string const& name)
{
    for (std::size_t at = 0; at < stage_names.size(); ++at)
        if (stage_names[at] == name)
            return static_cast<claim_stage>(at);
    return std::nullopt;
}

Json::Value answer_json(stored_answer const& answer)
{
    Json::Value json(Json::objectValue);
    json["status"] = answer.status;
    json["content_type"] = to_base64(answer.content_type);
    if (answer.object.empty())
        json["body"] = to_base64(answer.body);
    else
        json["object"] = answer.object;
    return json;
}

std::optional<stored_answer> parse_answer(Json::Value const& json)
{
    if (!json.isObject() || !json["status"].isInt() ||
        !json["content_type"].isString())
        return std::nullopt;
    auto const type = from_base64(json["content_type"].asString());
    if (!type)
        return std::nullopt;
    int const status = json["status"].asInt();
    if (json["object"].isString())
        return stored_answer{status, *type, "", json["object"].asString()};
    if (!json["body"].isString())
        return std::nullopt;
    auto const body = from_base64(json["body"].asString());
    if (!body)
        return std::nullopt;
    return stored_answer{status, *type, *body, ""};
}

std::optional<Json::Value> parse_object(std::string const& text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    Json::Value json;
    std::string faults;
    try
    {
        if (!reader->parse(text.data(), text.data() + text.size(), &json,
                           &faults) ||
            !json.isObject())
            return std::nullopt;
    }
    catch (Json::Exception const&)
    {
        // The text is nested deeper than jsoncpp allows, so it is not a claim
        // row.
        return std::nullopt;
    }
    return json;
}

bool has_string_fields(Json::Value const& json)
{
    for (char const* const name :
         {"token", "vm", "request", "fingerprint", "state"})
        if (!json[name].isString())
            return false;
    return true;
}

} // namespace

std::string encode(claim_row const& row)
{
    Json::Value json(Json::objectValue);
    json["token"] = row.token;
    json["vm"] = row.vm.str();
    json["life"] = Json::UInt64(row.vm_incarnation.value());
    json["request"] = row.request.str();
    json["fingerprint"] = row.fingerprint;
    json["state"] =
        std::string(stage_names[static_cast<std::size_t>(row.stage)]);
    if (row.answer)
        json["answer"] = answer_json(*row.answer);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::optional<claim_row> decode_claim_row(std::string const& text)
{
    auto const json = parse_object(text);
    if (!json || !has_string_fields(*json) || !(*json)["life"].isUInt64())
        return std::nullopt;
    auto const stage = parse_stage((*json)["state"].asString());
    if (!stage)
        return std::nullopt;
    std::optional<stored_answer> answer;
    if (*stage == claim_stage::answered)
    {
        answer = parse_answer((*json)["answer"]);
        if (!answer)
            return std::nullopt;
    }
    return claim_row{(*json)["token"].asString(),
                     vm_id((*json)["vm"].asString()),
                     incarnation((*json)["life"].asUInt64()),
                     request_id((*json)["request"].asString()),
                     (*json)["fingerprint"].asString(),
                     *stage,
                     answer};
}

std::string claim_key(service_id const& service, idempotency_key const& key)
{
    return "claim/" + percent_encode(service.str()) + '/' +
           percent_encode(key.str());
}

std::string call_fingerprint(service_request const& request)
{
    std::string_view const body =
        request.body ? std::string_view(*request.body) : std::string_view();
    return digest({request.method, request.target, body});
}

std::string answer_object_key(std::string_view body)
{
    return "answer/" + digest({body});
}

} // namespace mulberry
