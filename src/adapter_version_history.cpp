#include "adapter_version_history.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Maximum number of versions stored for one adapter.
constexpr std::size_t max_versions = 16;
/// Operators count up by a few at a time.
constexpr std::uint64_t max_version_lead = 1'000'000;

} // namespace

bool is_far_ahead(adapter_version version, adapter_version other)
{
    return version > other &&
           version.value() - other.value() > max_version_lead;
}

adapter_version_history::history const*
adapter_version_history::find(model_target const& target) const
{
    auto const known = declared_.find(target);
    return known == declared_.end() ? nullptr : &known->second;
}

bool adapter_version_history::declare(model_target const& target,
                                      declared_version const& declared)
{
    history& known = declared_[target];
    std::erase_if(known, [&declared](auto const& each)
                  { return is_far_ahead(each.version, declared.version); });
    if (!known.empty() && declared.version <= known.back().version)
        return false;
    drop_expired(known, declared.learned_at);
    if (known.size() < max_versions)
        known.push_back(declared);
    else
        // Older copies keep the earlier deadline.
        known.back().version = declared.version;
    return true;
}

/// Of the versions whose deadline has passed, only the newest affects the
/// result of oldest_allowed().
void adapter_version_history::drop_expired(history& known, time_point now)
{
    while (known.size() > 1 && known[1].older_allowed_until <= now)
        known.erase(known.begin());
}

adapter_version
adapter_version_history::newest(model_target const& target) const
{
    history const* const known = find(target);
    return known == nullptr ? adapter_version() : known->back().version;
}

time_point
adapter_version_history::newest_learned_at(model_target const& target) const
{
    history const* const known = find(target);
    return known == nullptr ? never : known->back().learned_at;
}

time_point adapter_version_history::superseded_at(model_target const& target,
                                                  adapter_version copy) const
{
    history const* const known = find(target);
    if (known == nullptr)
        return never;
    auto const newer =
        std::find_if(known->begin(), known->end(),
                     [copy](auto const& each) { return each.version > copy; });
    return newer == known->end() ? never : newer->learned_at;
}

adapter_version
adapter_version_history::oldest_allowed(model_target const& target,
                                        time_point at) const
{
    adapter_version oldest;
    if (history const* const known = find(target))
        for (declared_version const& each : *known)
            if (each.older_allowed_until <= at)
                oldest = each.version;
    return oldest;
}

void adapter_version_history::for_each(
    std::function<void(model_target const&, declared_version const&)> const&
        what) const
{
    for (auto const& [target, known] : declared_)
        for (declared_version const& each : known)
            what(target, each);
}

} // namespace mulberry
