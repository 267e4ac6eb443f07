#include "relay_request.hpp"

#include "declaration_text.hpp"
#include "placement.hpp"
#include "route_table.hpp"

namespace mulberry
{
namespace
{

/// Hexadecimal digits of 128 bits.
constexpr std::size_t digest_digits = 32;

request_digest short_digest(std::string const& text)
{
    return request_digest(digest_of(text).substr(0, digest_digits));
}

} // namespace

request_identity identity_of(relay_request const& request)
{
    std::string text;
    // Each field is preceded by its length, so that different lists of fields
    // never produce the same text.
    auto const add = [&text](std::string const& field)
    { text += std::to_string(field.size()) + ":" + field; };
    add(request.method);
    add(normalize_host(request.host));
    add(request.target);
    add(request.model ? request.model->model.str() : "");
    add(request.model ? request.model->adapter.str() : "");
    add(request.body);
    request_identity made;
    made.content = short_digest(text);
    made.content_and_caller = short_digest(made.content.str() + request.caller);
    return made;
}

double allotment_cost(relay_request const& request, allotment const& limit)
{
    if (limit.unit == allotment_unit::requests)
        return 1;
    prompt_shape const& shape = request.prompt;
    double const tokens = double(shape.tokens) + double(shape.answer_tokens);
    return tokens > 0 ? tokens : limit.plain_tokens;
}

shared_prefix prefix_of(prompt_shape const& prompt)
{
    shared_prefix prefix;
    std::string ids;
    for (std::size_t at = 0; at + 1 < prompt.parts.size(); ++at)
    {
        ids += prompt.parts[at].id + ",";
        prefix.tokens += prompt.parts[at].tokens;
    }
    if (!ids.empty())
        prefix.key = stable_hash(ids);
    return prefix;
}

} // namespace mulberry
