#include "relay_request.hpp"

#include "declaration_text.hpp"
#include "placement.hpp"
#include "route_table.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace mulberry
{
namespace
{

/// Hexadecimal digits of 128 bits.
constexpr std::size_t digest_digits = 32;
/// Starts the digest of a part; no digest of a request starts so.
constexpr std::string_view part_prefix = "part-";
/// Ids of parts that are longer are hashed.
constexpr std::size_t max_part_id = 64;

request_digest short_digest(std::string const& text)
{
    return request_digest(digest_of(text).substr(0, digest_digits));
}

} // namespace

request_digest part_digest(std::string const& part)
{
    bool const plain =
        part.size() <= max_part_id &&
        std::all_of(part.begin(), part.end(),
                    [](unsigned char each) { return std::isalnum(each) != 0; });
    return request_digest(std::string(part_prefix) +
                          (plain ? part : short_digest(part).str()));
}

bool is_part(request_digest const& digest)
{
    return digest.str().starts_with(part_prefix);
}

std::vector<request_digest> shared_parts(prompt_shape const& prompt)
{
    std::vector<request_digest> digests;
    for (std::size_t at = 0; at + 1 < prompt.parts.size(); ++at)
        digests.push_back(part_digest(prompt.parts[at].id));
    return digests;
}

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
    made.parts = shared_parts(request.prompt);
    return made;
}

double plain_requests_per_second(allotment const& limit)
{
    return limit.unit == allotment_unit::requests
               ? limit.per_second
               : limit.per_second / std::max(limit.plain_tokens, 1.0);
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
