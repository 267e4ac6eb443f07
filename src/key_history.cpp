#include "key_history.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberry
{

configuration_versions::configuration_versions(
    std::vector<routing_config> versions)
{
    std::sort(versions.begin(), versions.end(),
              [](routing_config const& a, routing_config const& b)
              { return a.version < b.version; });
    for (routing_config& each : versions)
    {
        auto config = std::make_shared<routing_config const>(std::move(each));
        versions_.push_back({config, team_directory(config)});
    }
}

std::set<key_digest>
configuration_versions::keys_with_prefix(std::string_view digits) const
{
    std::set<key_digest> found;
    for (known_version const& version : versions_)
        for (team const& each : version.config->teams)
            std::copy_if(each.keys.begin(), each.keys.end(),
                         std::inserter(found, found.end()),
                         [digits](key_digest const& key)
                         { return key.str().starts_with(digits); });
    return found;
}

key_history configuration_versions::history_of(key_digest const& key) const
{
    key_history result;
    result.key = key;
    for (auto each = versions_.rbegin(); each != versions_.rend(); ++each)
    {
        config_version const version = each->config->version;
        team const* const found = each->teams.holder(key);
        if (!result.holder && found == nullptr)
        {
            result.removed_in = version;
            continue;
        }
        if (!result.holder)
        {
            result.holder = *found;
            result.until = version;
        }
        if (found == nullptr || found->name != result.holder->name)
        {
            result.absent_in = version;
            break;
        }
        result.since = version;
    }
    if (!result.holder)
        result.removed_in = config_version();
    return result;
}

} // namespace mulberry
