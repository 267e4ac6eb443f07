#include "software_versions.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{

void software_versions::set_longest_stream(duration time)
{
    longest_stream_ = std::max(longest_stream_, time);
}

duration software_versions::longest_stream() const
{
    return record_ ? std::max(longest_stream_, record_->longest_stream)
                   : longest_stream_;
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
        {
            known.unlisted_at = now;
            known.last_listed = as_of_;
        }
    for (software_version const& version : listed)
    {
        auto const [found, added] = known_.try_emplace(version);
        state& known = found->second;
        if (added || must_begin_anew(version, known, now))
            known = {now, never, {}, false, is_first};
        known.unlisted_at = never;
    }
}

/// Other VMs may have forgotten a version that was away for long, and those
/// that started meanwhile know it from the record only.
bool software_versions::must_begin_anew(software_version const& version,
                                        state const& known,
                                        time_point now) const
{
    if (known.unlisted_at == never)
        return false;
    bool const is_recorded =
        !keeps_records_ || (record_ && record_->versions.count(version) > 0);
    return !known.established || !is_recorded ||
           now > known.last_listed + longest_stream_ / 2;
}

void software_versions::set_known_as_of(time_point as_of, std::uint64_t missed,
                                        time_point now)
{
    if (as_of <= as_of_)
        return;
    // Within so long a gap a version may have been established and given up.
    bool const is_gap = as_of_ != time_point() && as_of >= as_of_ + validity_;
    if (is_gap)
        gap_end_ = as_of;
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

void software_versions::set_record(std::optional<software_record> record,
                                   time_point as_of)
{
    record_ = std::move(record);
    record_as_of_ = std::max(record_as_of_, as_of);
}

/// Where nothing was recorded, no stream has begun that could be confused with
/// those of the first version.
software_view software_versions::view(time_point now) const
{
    software_view seen;
    for (auto const& [version, known] : known_)
        if (known.unlisted_at == never)
        {
            seen.listed.insert(version);
            if (known.established || (known.is_first && !record_))
                seen.established.insert(version);
        }
    seen.complete =
        complete_since_ != never && now >= complete_since_ + longest_stream();
    seen.longest_stream = longest_stream_;
    seen.retention = longest_stream_ + 2 * validity_;
    for (auto const& [version, known] : known_)
        if (is_remembered(known, now))
            seen.remembered.insert(version);
    seen.as_of = as_of_;
    seen.max_gap = validity_;
    return seen;
}

void software_versions::learn_only(software_version const& version,
                                   time_point now)
{
    if (complete_since_ != never && remembered(now) == std::set{version})
        complete_since_ = std::min(complete_since_, now - longest_stream());
}

bool software_versions::is_remembered(state const& known, time_point now) const
{
    return known.unlisted_at == never ||
           now <= known.unlisted_at + longest_stream();
}

void software_versions::forget_old(time_point now)
{
    std::erase_if(known_, [this, now](auto const& each)
                  { return !is_remembered(each.second, now); });
}

std::set<software_version> software_versions::remembered(time_point now) const
{
    std::set<software_version> versions;
    if (record_)
        versions = record_->versions;
    for (auto const& [version, known] : known_)
        if (is_remembered(known, now))
            versions.insert(version);
    return versions;
}

bool software_versions::is_complete(time_point now) const
{
    bool const is_recorded =
        record_ && record_->complete && record_as_of_ >= complete_since_;
    return complete_since_ != never &&
           (is_recorded || now >= complete_since_ + longest_stream());
}

bool software_versions::is_record_newer_than_gap() const
{
    return !keeps_records_ || record_as_of_ >= gap_end_;
}

std::optional<software_version>
software_versions::only_version(time_point now) const
{
    if (!is_current(now) || !is_complete(now) || !is_record_newer_than_gap())
        return std::nullopt;
    std::set<software_version> const versions = remembered(now);
    return versions.size() == 1 ? std::optional(*versions.begin())
                                : std::nullopt;
}

bool software_versions::may_begin(software_version const& version,
                                  state const& known) const
{
    if (!keeps_records_)
        return known.established || known.is_first;
    return record_ && record_->versions.count(version) > 0 &&
           (known.established || record_->established.count(version) > 0);
}

bool software_versions::are_all_established() const
{
    return std::all_of(known_.begin(), known_.end(),
                       [this](auto const& each)
                       {
                           return each.second.unlisted_at != never ||
                                  may_begin(each.first, each.second);
                       });
}

bool software_versions::knows_history(time_point now) const
{
    return are_all_established() && complete_since_ != never &&
           (is_complete(now) || remembered(now).size() != 1);
}

bool software_versions::is_established(software_version const& version) const
{
    auto const found = known_.find(version);
    return found != known_.end() && may_begin(version, found->second);
}

std::set<software_version> software_versions::established() const
{
    std::set<software_version> versions;
    for (auto const& [version, known] : known_)
        if (known.unlisted_at == never && may_begin(version, known))
            versions.insert(version);
    return versions;
}

} // namespace mulberry
