/// The table's rows of a quarter: their keys and their text.
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

/// All rows of all quarters begin with this.
inline constexpr char const* quarter_prefix = "quarter/";

/// Names the row of a life (quarter/Q/VM/LIFE) or, without a VM, the row of
/// all folded ones (quarter/Q/sum). Value.
struct quarter_key
{
    std::string quarter;
    vm_id vm;
    incarnation incarnation_number;

    bool is_sum() const { return vm.empty(); }
    std::string str() const;
    friend auto operator<=>(quarter_key const&, quarter_key const&) = default;
};

std::optional<quarter_key> parse_quarter_key(std::string const& text);

/// What such a row holds. Value.
struct quarter_row
{
    /// Rises with each write of a life: tells the writes of one apart whose
    /// answers were lost. 0 in a sum.
    std::uint64_t write = 0;
    quarter_totals totals;
    friend bool operator==(quarter_row const&, quarter_row const&) = default;
};

std::string encode(quarter_row const& row);

/// None for anything that encode() does not write.
std::optional<quarter_row> decode_quarter_row(std::string const& text);

} // namespace mulberry

#endif
