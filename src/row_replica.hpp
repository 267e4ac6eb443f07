/// A local replica of one set of rows that serves the changes since a version.
#ifndef MULBERRY_ROW_REPLICA_HPP
#define MULBERRY_ROW_REPLICA_HPP

#include "row_store.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Answers "what changed after version V" for other VMs, as the store's feed
/// does, but leaves out changes that no reader acts on: a worker's heartbeat
/// changes its row every second, but rarely what the row says about the worker.
///
/// Thread safety: none. Pure: no I/O, no clock.
class row_replica
{
public:
    /// Returns the part of a row that readers act on; two rows of one key with
    /// the same part are equivalent. If empty, every change counts.
    using projection = std::function<std::string(stored_row const&)>;

    explicit row_replica(projection project = {});

    bool is_loaded() const { return is_loaded_; }
    /// The newest version that the replica includes; never decreases.
    row_version version() const { return version_; }

    /// Applies a snapshot of all rows as of `version`. Returns the rows that
    /// differ from the replica; missing rows are returned marked as deleted.
    std::vector<stored_row> apply_snapshot(std::vector<stored_row> rows,
                                           row_version version);
    /// Applies changes up to `version`. Returns the rows that were newer than
    /// the replica's. A deleted row does not return with an older version, even
    /// after its deletion is no longer remembered.
    std::vector<stored_row> apply(std::vector<stored_row> rows,
                                  row_version version);

    /// The rows whose relevant part changed after version `after`, deleted ones
    /// included; nullopt if the replica does not reach back that far.
    std::optional<std::vector<stored_row>>
    changes_since(row_version after) const;
    /// All rows that are not deleted.
    std::vector<stored_row> rows() const;
    /// The version at which the relevant part of any row last changed.
    row_version changed_at() const { return changed_at_; }
    /// How often rows may have come and gone unseen: by rows that were heard of
    /// only when they were deleted, and by snapshots after the first.
    std::uint64_t missed() const { return missed_; }
    /// The replica whose changes are applied here has missed rows.
    void note_missed() { ++missed_; }

private:
    struct entry
    {
        stored_row row;
        std::string projection;
        /// The version at which the relevant part last changed.
        row_version changed_at;
    };

    std::vector<stored_row> apply_rows(std::vector<stored_row> rows,
                                       row_version version,
                                       bool reflects_deletions);
    bool is_obsolete(stored_row const& row) const;
    bool apply_row(stored_row row);
    void prune_tombstones();

    projection project_;
    bool is_loaded_ = false;
    row_version version_;
    row_version changed_at_;
    /// All changes after this version are stored here, and of the rows that are
    /// no newer, those that were not deleted. Never exceeds version_.
    row_version complete_since_;
    std::map<std::string, entry> entries_;
    std::size_t tombstones_ = 0;
    std::uint64_t missed_ = 0;
};

} // namespace mulberry

#endif
