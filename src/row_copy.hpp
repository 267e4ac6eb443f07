/// A copy of one set of rows, and what changed in it since a version.
#ifndef MULBERRY_ROW_COPY_HPP
#define MULBERRY_ROW_COPY_HPP

#include "row_store.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Answers "what changed after version V" for other VMs, as the store's feed
/// does, but leaves out changes that nobody acts on: a worker's heartbeat
/// changes its row every second, and what the row says of the worker seldom.
/// Thread safety: none. Pure: no I/O, no clock.
class row_copy
{
public:
    /// What of a row others act on; two rows of one key with the same essence
    /// are the same to them. Empty: every change counts.
    using essence = std::function<std::string(stored_row const&)>;

    explicit row_copy(essence essence_of = {});

    bool read() const { return read_; }
    /// The newest version that the copy shows; it never goes back.
    row_version version() const { return version_; }

    /// Takes a whole read as of a version. Returns the rows that differ from
    /// the copy; those that are gone are marked deleted.
    std::vector<stored_row> replace(std::vector<stored_row> rows,
                                    row_version version);
    /// Takes changes up to a version. Returns those that were news.
    std::vector<stored_row> apply(std::vector<stored_row> rows,
                                  row_version version);

    /// The rows whose essence changed after a version, those that were dropped
    /// among them; nothing when the copy does not reach back so far.
    std::optional<std::vector<stored_row>> since(row_version after) const;
    /// Every row there is.
    std::vector<stored_row> rows() const;
    /// When a row's essence last changed.
    row_version changed_at() const { return changed_at_; }

private:
    struct entry
    {
        stored_row row;
        std::string essence;
        /// The version at which the essence became what it is.
        row_version changed_at;
    };

    bool take(stored_row row);
    void forget_dropped();

    essence essence_of_;
    bool read_ = false;
    row_version version_;
    row_version changed_at_;
    /// Changes after this version are all here.
    row_version reaches_back_to_;
    std::map<std::string, entry> entries_;
    std::size_t dropped_ = 0;
};

} // namespace mulberry

#endif
