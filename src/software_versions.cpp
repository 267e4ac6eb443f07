#include "software_versions.hpp"

#include <algorithm>

namespace mulberry
{

void software_versions::set_longest_stream(duration time)
{
    longest_stream_ = std::max(longest_stream_, time);
}

void software_versions::set_listed(std::set<software_version> const& listed,
                                   time_point now)
{
    forget_old(now);
    if (complete_since_ == never)
        complete_since_ = now;
    // Streams of the versions that were listed before cannot be confused with
    // those of a first one: there are none.
    bool const is_first = known_.empty() && listed.size() == 1;
    for (auto& [version, known] : known_)
        if (known.unlisted_at == never && listed.count(version) == 0)
            known.unlisted_at = now;
    for (software_version const& version : listed)
    {
        auto const [found, added] = known_.try_emplace(version);
        state& known = found->second;
        // Other VMs may have forgotten a version that was away for long.
        bool const returned = known.unlisted_at != never &&
                              now > known.unlisted_at + longest_stream_ / 2;
        if (added || returned)
            known = {now, never, is_first};
        known.unlisted_at = never;
    }
}

void software_versions::set_known_as_of(time_point as_of, std::uint64_t missed,
                                        time_point now)
{
    if (as_of <= as_of_)
        return;
    // Within so long a gap a version may have been established and given up.
    bool const is_gap = as_of_ != time_point() && as_of >= as_of_ + validity_;
    if (is_gap && missed != missed_)
        complete_since_ = now;
    missed_ = missed;
    as_of_ = as_of;
    for (auto& [version, known] : known_)
        if (known.unlisted_at == never &&
            as_of >= known.listed_since + validity_)
            known.established = true;
}

void software_versions::learn_established(
    std::set<software_version> const& versions)
{
    for (auto& [version, known] : known_)
        if (versions.count(version) > 0)
            known.established = true;
}

void software_versions::learn_only(software_version const& version,
                                   time_point now)
{
    if (complete_since_ != never && count_remembered(now) == 1 &&
        is_remembered(known_.begin()->second, now) &&
        known_.begin()->first == version)
        complete_since_ = std::min(complete_since_, now - longest_stream_);
}

bool software_versions::is_remembered(state const& known, time_point now) const
{
    return known.unlisted_at == never ||
           now <= known.unlisted_at + longest_stream_;
}

void software_versions::forget_old(time_point now)
{
    std::erase_if(known_, [this, now](auto const& each)
                  { return !is_remembered(each.second, now); });
}

std::size_t software_versions::count_remembered(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(known_.begin(), known_.end(),
                      [this, now](auto const& each)
                      { return is_remembered(each.second, now); }));
}

std::optional<software_version>
software_versions::only_version(time_point now) const
{
    if (!is_current(now) || complete_since_ == never ||
        now < complete_since_ + longest_stream_ || count_remembered(now) != 1)
        return std::nullopt;
    for (auto const& [version, known] : known_)
        if (is_remembered(known, now))
            return version;
    return std::nullopt;
}

bool software_versions::are_all_established() const
{
    return std::all_of(known_.begin(), known_.end(),
                       [](auto const& each) {
                           return each.second.established ||
                                  each.second.unlisted_at != never;
                       });
}

bool software_versions::knows_history(time_point now) const
{
    return are_all_established() && complete_since_ != never &&
           (now >= complete_since_ + longest_stream_ ||
            count_remembered(now) != 1);
}

bool software_versions::is_established(software_version const& version) const
{
    auto const found = known_.find(version);
    return found != known_.end() && found->second.established;
}

std::set<software_version> software_versions::established() const
{
    std::set<software_version> versions;
    for (auto const& [version, known] : known_)
        if (known.established && known.unlisted_at == never)
            versions.insert(version);
    return versions;
}

} // namespace mulberry
