#include "row_copy.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberry
{
namespace
{

/// Maximum number of deleted rows that are remembered (tombstones), so that
/// followers learn of deletions from the changes. They cover some minutes of
/// restarts; a follower that asks for older changes gets all rows.
constexpr std::size_t most_dropped = 1000;

} // namespace

row_copy::row_copy(essence essence_of) : essence_of_(std::move(essence_of)) {}

std::vector<stored_row> row_copy::replace(std::vector<stored_row> rows,
                                          row_version version)
{
    std::set<std::string> present;
    for (stored_row const& row : rows)
        present.insert(row.key);
    // The version at which a missing row was deleted is unknown; the snapshot's
    // version is the first at which the row is certain to be missing.
    for (auto const& [key, known] : entries_)
        if (!known.row.deleted && present.count(key) == 0)
            rows.push_back({known.row.kind, key, version, {}, true});
    if (!read_)
        reaches_back_to_ = version;
    read_ = true;
    return apply(std::move(rows), version);
}

std::vector<stored_row> row_copy::apply(std::vector<stored_row> rows,
                                        row_version version)
{
    std::vector<stored_row> news;
    for (stored_row& row : rows)
    {
        stored_row copy = row;
        if (take(std::move(row)))
            news.push_back(std::move(copy));
    }
    version_ = std::max(version_, version);
    forget_dropped();
    return news;
}

/// Failure: answers overtake each other, and a row read earlier replaces the
/// one read later; a draining worker looks healthy again. A row is therefore
/// never replaced by an older version of itself.
bool row_copy::take(stored_row row)
{
    auto const known = entries_.find(row.key);
    if (known == entries_.end() && row.deleted)
        return false;
    if (known != entries_.end() && row.version <= known->second.row.version)
        return false;
    std::string now_is = row.deleted   ? std::string()
                         : essence_of_ ? essence_of_(row)
                                       : std::to_string(row.version.value());
    if (known == entries_.end())
    {
        changed_at_ = std::max(changed_at_, row.version);
        std::string const key = row.key;
        row_version const version = row.version;
        entries_.emplace(key,
                         entry{std::move(row), std::move(now_is), version});
        return true;
    }
    entry& old = known->second;
    bool const same = old.row.deleted == row.deleted && old.essence == now_is;
    if (!same)
    {
        old.changed_at = row.version;
        changed_at_ = std::max(changed_at_, row.version);
        dropped_ += row.deleted && !old.row.deleted;
        dropped_ -= old.row.deleted && !row.deleted;
    }
    old.essence = std::move(now_is);
    old.row = std::move(row);
    return true;
}

void row_copy::forget_dropped()
{
    if (dropped_ <= most_dropped)
        return;
    std::erase_if(entries_,
                  [this](auto const& each)
                  {
                      if (each.second.row.deleted)
                          reaches_back_to_ = std::max(reaches_back_to_,
                                                      each.second.changed_at);
                      return each.second.row.deleted;
                  });
    dropped_ = 0;
}

std::optional<std::vector<stored_row>> row_copy::since(row_version after) const
{
    if (!read_ || after < reaches_back_to_)
        return std::nullopt;
    std::vector<stored_row> changed;
    if (changed_at_ <= after)
        return changed;
    for (auto const& [key, known] : entries_)
        if (known.changed_at > after)
            changed.push_back(known.row);
    return changed;
}

std::vector<stored_row> row_copy::rows() const
{
    std::vector<stored_row> all;
    for (auto const& [key, known] : entries_)
        if (!known.row.deleted)
            all.push_back(known.row);
    return all;
}

} // namespace mulberry
