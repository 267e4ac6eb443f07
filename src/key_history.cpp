#include "key_history.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberry
{

known_configurations::known_configurations(std::vector<routing_config> versions)
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
known_configurations::keys_beginning_with(std::string_view digits) const
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

key_history known_configurations::history_of(key_digest const& key) const
{
    key_history made;
    made.key = key;
    for (auto each = versions_.rbegin(); each != versions_.rend(); ++each)
    {
        config_version const version = each->config->version;
        team const* const found = each->teams.holder(key);
        if (!made.holder && found == nullptr)
        {
            made.gone_by = version;
            continue;
        }
        if (!made.holder)
        {
            made.holder = *found;
            made.until = version;
        }
        if (found == nullptr || found->name != made.holder->name)
        {
            made.not_yet = version;
            break;
        }
        made.since = version;
    }
    if (!made.holder)
        made.gone_by = config_version();
    return made;
}

} // namespace mulberry
