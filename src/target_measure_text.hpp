/// Names of the target measures in declaration files and in HTTP answers.
#ifndef MULBERRY_TARGET_MEASURE_TEXT_HPP
#define MULBERRY_TARGET_MEASURE_TEXT_HPP

#include "declaration.hpp"

#include <array>
#include <string_view>

namespace mulberry
{

inline constexpr std::array<std::string_view, 3> target_measure_names{
    "answered_within", "stall_share", "batch_efficiency"};

/// The measure's name in a declaration file.
constexpr std::string_view to_string(target_measure measure)
{
    return target_measure_names[static_cast<std::size_t>(measure)];
}

} // namespace mulberry

#endif
