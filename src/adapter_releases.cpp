#include "adapter_releases.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// Versions of one adapter that are remembered. Only the newest whose time for
/// older ones is over and those after it decide anything.
constexpr std::size_t most_remembered = 16;

} // namespace

adapter_releases::history const*
adapter_releases::find(model_target const& target) const
{
    auto const known = declared_.find(target);
    return known == declared_.end() ? nullptr : &known->second;
}

bool adapter_releases::declare(model_target const& target,
                               declared_version const& declared)
{
    history& known = declared_[target];
    if (!known.empty() && declared.version <= known.back().version)
        return false;
    known.push_back(declared);
    if (known.size() > most_remembered)
        known.erase(known.begin());
    return true;
}

adapter_version adapter_releases::newest(model_target const& target) const
{
    history const* const known = find(target);
    return known == nullptr ? adapter_version() : known->back().version;
}

time_point adapter_releases::newest_heard_at(model_target const& target) const
{
    history const* const known = find(target);
    return known == nullptr ? never : known->back().heard_at;
}

time_point adapter_releases::replaced_at(model_target const& target,
                                         adapter_version copy) const
{
    history const* const known = find(target);
    if (known == nullptr)
        return never;
    auto const newer =
        std::find_if(known->begin(), known->end(),
                     [copy](auto const& each) { return each.version > copy; });
    return newer == known->end() ? never : newer->heard_at;
}

time_point adapter_releases::older_until(model_target const& target) const
{
    history const* const known = find(target);
    return known == nullptr ? never : known->back().older_until;
}

void adapter_releases::for_each_newest(
    std::function<void(model_target const&, adapter_version)> const& what) const
{
    for (auto const& [target, known] : declared_)
        what(target, known.back().version);
}

} // namespace mulberry
