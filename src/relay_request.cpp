#include "relay_request.hpp"

#include "placement.hpp"

namespace mulberry
{

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
