#include "prefix_cache.hpp"

#include "json_text.hpp"

#include <algorithm>

namespace mulberry::standins
{
namespace
{

constexpr std::size_t events_kept = 10'000;

} // namespace

prefix_cache::prefix_cache(prefix_settings settings) : settings_(settings) {}

bool prefix_cache::use(std::string const& prefix, steady_time now)
{
    if (prefix.empty() || settings_.slots == 0)
        return false;
    auto const found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    if (found != prefixes_.end())
    {
        prefixes_.splice(prefixes_.begin(), prefixes_, found);
        return true;
    }
    if (prefixes_.size() == settings_.slots)
    {
        publish(false, prefixes_.back(), now);
        prefixes_.pop_back();
    }
    prefixes_.push_front(prefix);
    publish(true, prefix, now);
    return false;
}

void prefix_cache::clear()
{
    prefixes_.clear();
    events_.clear();
    last_number_ = 0;
}

std::string prefix_cache::events(std::uint64_t after, steady_time now) const
{
    Json::Value json;
    json["events"] = Json::Value(Json::arrayValue);
    for (event const& seen : events_)
    {
        if (seen.number <= after || seen.at + settings_.event_lag > now)
            continue;
        Json::Value entry;
        entry["number"] = Json::UInt64(seen.number);
        entry["kind"] = seen.stored ? "stored" : "removed";
        entry["prefix"] = seen.prefix;
        json["events"].append(entry);
    }
    return to_text(json);
}

void prefix_cache::publish(bool stored, std::string const& prefix,
                           steady_time now)
{
    ++last_number_;
    if (settings_.lose_every != 0 && last_number_ % settings_.lose_every == 0)
        return;
    events_.push_back({last_number_, now, stored, prefix});
    if (events_.size() > events_kept)
        events_.pop_front();
}

} // namespace mulberry::standins
