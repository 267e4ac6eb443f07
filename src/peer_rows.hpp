/// Messages with which VMs exchange the store's rows.
///
///   POST /rows  {"after": [V, V, V], "wait_ms": N, "large_rows": false}
///   200         {"sets": [{"read": true, "version": V, "age_ms": N,
///                          "proven_before_ms": N, "missed": N,
///                          "whole": false, "incomplete": false,
///                          "rows": [[KIND, KEY, VERSION, VALUE or null]]},
///                         ...]}
///
/// One entry for each set, in the order of row_set. The answer is sent when a
/// row that other VMs act on has changed, or when the wait is over. Large rows
/// are left out unless requested; see row_set_changes::incomplete.
#ifndef MULBERRY_PEER_ROWS_HPP
#define MULBERRY_PEER_ROWS_HPP

#include "row_store.hpp"
#include "time_point.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

inline constexpr char const* rows_path = "/rows";
inline constexpr std::array<row_set, 3> all_row_sets{
    row_set::declarations, row_set::workers, row_set::own};

/// Requests the changes after the given versions. Value.
struct rows_query
{
    std::array<row_version, all_row_sets.size()> after;
    /// How long the answer may wait for a change.
    duration wait{};
    /// Large rows are wanted too, because the sender cannot read them from the
    /// store.
    bool large_rows = false;
    friend bool operator==(rows_query const&, rows_query const&) = default;
};

/// The changes of one set. Value.
struct row_set_changes
{
    /// Whether the answering VM has read the set.
    bool read = false;
    row_version version;
    /// How long ago the rows were last known to be current.
    duration age{};
    /// `rows` holds all rows of the set instead of only the changed rows.
    bool is_snapshot = false;
    /// Large rows are left out, so `rows` does not bring the receiver up to
    /// `version`; the large rows must be read from the store.
    bool incomplete = false;
    std::vector<stored_row> rows;
    /// As row_replica::missed(), of the answering VM.
    std::uint64_t missed = 0;
    /// How long before the query's arrival the rows were last proven to match
    /// the store (see row_mirror::proven_as_of()); negative if that was after
    /// the arrival, absent if unknown.
    std::optional<duration> proven_before;
    friend bool operator==(row_set_changes const&,
                           row_set_changes const&) = default;
};

using rows_answer = std::array<row_set_changes, all_row_sets.size()>;

/// Returns a complete HTTP request.
std::string encode_rows_query(rows_query const& query, std::string const& host);
/// The decoders return nullopt if the text is malformed.
std::optional<rows_query> decode_rows_query(std::string const& body);
std::string encode_rows_answer(rows_answer const& answer);
std::optional<rows_answer> decode_rows_answer(std::string const& body);

} // namespace mulberry

#endif
