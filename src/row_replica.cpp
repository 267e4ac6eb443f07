#include "row_replica.hpp"

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
constexpr std::size_t max_tombstones = 1000;

} // namespace

row_replica::row_replica(projection project) : project_(std::move(project)) {}

std::vector<stored_row>
row_replica::apply_snapshot(std::vector<stored_row> rows, row_version version)
{
    std::set<std::string> present;
    for (stored_row const& row : rows)
        present.insert(row.key);
    // The version at which a missing row was deleted is unknown; the snapshot's
    // version is the first at which the row is certain to be missing.
    for (auto const& [key, known] : entries_)
        if (!known.row.deleted && present.count(key) == 0)
            rows.push_back({known.row.kind, key, version, {}, true});
    if (is_loaded_)
        ++missed_;
    // Such a snapshot reflects every deletion that is no longer remembered.
    bool const reflects_deletions = version >= complete_since_;
    std::vector<stored_row> newer =
        apply_rows(std::move(rows), version, reflects_deletions);
    if (!is_loaded_)
        complete_since_ = std::max(complete_since_, version);
    is_loaded_ = true;
    return newer;
}

std::vector<stored_row> row_replica::apply(std::vector<stored_row> rows,
                                           row_version version)
{
    return apply_rows(std::move(rows), version, false);
}

std::vector<stored_row> row_replica::apply_rows(std::vector<stored_row> rows,
                                                row_version version,
                                                bool reflects_deletions)
{
    std::vector<stored_row> newer;
    for (stored_row& row : rows)
    {
        if (!reflects_deletions && is_obsolete(row))
            continue;
        stored_row copy = row;
        if (apply_row(std::move(row)))
            newer.push_back(std::move(copy));
    }
    version_ = std::max(version_, version);
    prune_tombstones();
    return newer;
}

/// Failure: a row is deleted, so are many others, and an answer that was
/// overtaken brings it back. The replica has had all rows of complete_since_,
/// so that a row that is no newer and unknown was deleted.
bool row_replica::is_obsolete(stored_row const& row) const
{
    return row.version <= complete_since_ && !entries_.contains(row.key);
}

/// Failure: answers overtake each other, and a row read earlier replaces the
/// one read later; a draining worker looks healthy again. A row is therefore
/// never replaced by an older version of itself.
bool row_replica::apply_row(stored_row row)
{
    auto const known = entries_.find(row.key);
    if (known != entries_.end() && row.version <= known->second.row.version)
        return false;
    std::string projected = row.deleted ? std::string()
                            : project_  ? project_(row)
                                        : std::to_string(row.version.value());
    if (known == entries_.end())
    {
        missed_ += row.deleted ? 1 : 0;
        tombstones_ += row.deleted ? 1 : 0;
        changed_at_ = std::max(changed_at_, row.version);
        std::string const key = row.key;
        row_version const version = row.version;
        entries_.emplace(key,
                         entry{std::move(row), std::move(projected), version});
        return true;
    }
    entry& old = known->second;
    bool const same =
        old.row.deleted == row.deleted && old.projection == projected;
    if (!same)
    {
        old.changed_at = row.version;
        changed_at_ = std::max(changed_at_, row.version);
        tombstones_ += row.deleted && !old.row.deleted;
        tombstones_ -= old.row.deleted && !row.deleted;
    }
    old.projection = std::move(projected);
    old.row = std::move(row);
    return true;
}

/// Deletions after version_ stay, since rows that old may still be new here.
void row_replica::prune_tombstones()
{
    if (tombstones_ <= max_tombstones)
        return;
    std::erase_if(entries_,
                  [this](auto const& each)
                  {
                      stored_row const& row = each.second.row;
                      bool const forgets =
                          row.deleted && row.version <= version_;
                      if (forgets)
                      {
                          complete_since_ =
                              std::max(complete_since_, row.version);
                          --tombstones_;
                      }
                      return forgets;
                  });
}

std::optional<std::vector<stored_row>>
row_replica::changes_since(row_version after) const
{
    if (!is_loaded_ || after < complete_since_)
        return std::nullopt;
    std::vector<stored_row> changed;
    if (changed_at_ <= after)
        return changed;
    for (auto const& [key, known] : entries_)
        if (known.changed_at > after)
            changed.push_back(known.row);
    return changed;
}

std::vector<stored_row> row_replica::rows() const
{
    std::vector<stored_row> all;
    for (auto const& [key, known] : entries_)
        if (!known.row.deleted)
            all.push_back(known.row);
    return all;
}

} // namespace mulberry
