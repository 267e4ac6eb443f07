/// Keys and text format of a quarter's rows in the table.
#ifndef MULBERRY_QUARTER_ROW_HPP
#define MULBERRY_QUARTER_ROW_HPP

#include "ids.hpp"
#include "quarter_counts.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace mulberry
{

/// Key prefix of the rows of all quarters.
inline constexpr char const* quarter_prefix = "quarter/";

/// Key of the row of one incarnation (quarter/Q/VM/INCARNATION) or, if `vm` is
/// empty, of the sum row, which holds all folded rows (quarter/Q/sum). Value.
struct quarter_key
{
    std::string quarter;
    vm_id vm;
    incarnation incarnation_number;

    bool is_sum() const { return vm.empty(); }
    std::string str() const;
    friend auto operator<=>(quarter_key const&, quarter_key const&) = default;
};

/// Parses the output of quarter_key::str(). Returns nothing for other keys.
std::optional<quarter_key> parse_quarter_key(std::string const& text);

/// Contents of a row. Value.
struct quarter_row
{
    /// Increases with each write of an incarnation, to tell apart writes whose
    /// answers were lost. 0 in a sum row.
    std::uint64_t write_number = 0;
    quarter_totals totals;
    friend bool operator==(quarter_row const&, quarter_row const&) = default;
};

std::string encode(quarter_row const& row);

/// Parses the output of encode(). Returns nothing for malformed text.
std::optional<quarter_row> decode_quarter_row(std::string const& text);

} // namespace mulberry

#endif
