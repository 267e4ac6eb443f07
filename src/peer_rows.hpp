/// What VMs say to each other about the store's rows.
///
///   POST /rows  {"after": [V, V, V], "wait_ms": N, "large_rows": false}
///   200         {"sets": [{"read": true, "version": V, "age_ms": N,
///                          "proven_before_ms": N,
///                          "whole": false, "incomplete": false,
///                          "rows": [[KIND, KEY, VERSION, VALUE or null]]},
///                         ...]}
///
/// One entry for each set, in the order of row_set. The answer comes when a
/// row that others act on has changed, or when the wait is over. Large rows are
/// left out unless they are asked for; see row_set_changes::incomplete.
#ifndef MULBERRY_PEER_ROWS_HPP
#define MULBERRY_PEER_ROWS_HPP

#include "row_store.hpp"
#include "time_point.hpp"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

inline constexpr char const* rows_path = "/rows";
inline constexpr std::array<row_set, 3> all_row_sets{
    row_set::declarations, row_set::workers, row_set::own};

/// What changed after these versions? Value.
struct rows_query
{
    std::array<row_version, all_row_sets.size()> after;
    /// How long the answer may wait for a change.
    duration wait{};
    /// Large rows too: whoever asks cannot read them at the store.
    bool large_rows = false;
    friend bool operator==(rows_query const&, rows_query const&) = default;
};

/// What changed in one set. Value.
struct row_set_changes
{
    /// The VM that answers has read the set.
    bool read = false;
    row_version version;
    /// How long ago the store was asked for what this shows.
    duration age{};
    /// All rows there are, in place of those that changed.
    bool is_snapshot = false;
    /// Large rows are left out, so that the set is not known up to `version`;
    /// the store has them.
    bool incomplete = false;
    std::vector<stored_row> rows;
    /// How long before the question arrived the rows were last certain to be
    /// the store's; negative if it was after that. Nothing where it cannot be
    /// told.
    std::optional<duration> proven_before;
    friend bool operator==(row_set_changes const&,
                           row_set_changes const&) = default;
};

using rows_answer = std::array<row_set_changes, all_row_sets.size()>;

/// A whole HTTP request.
std::string encode_rows_query(rows_query const& query, std::string const& host);
/// Nothing when the text is no such message.
std::optional<rows_query> decode_rows_query(std::string const& body);
std::string encode_rows_answer(rows_answer const& answer);
std::optional<rows_answer> decode_rows_answer(std::string const& body);

} // namespace mulberry

#endif
