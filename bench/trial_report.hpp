/// Results of trials as tables and as a file, and what two files differ by.
#ifndef MULBERRY_TRIAL_REPORT_HPP
#define MULBERRY_TRIAL_REPORT_HPP

#include "trial_fleet.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// A table of one result.
std::string to_table(trial_result const& result);

/// One JSON object a line.
std::string to_json_line(trial_result const& result);
/// Nothing when the text is no such line.
std::optional<trial_result> parse_json_line(std::string const& line);

/// A mean of differences and half of the width of its interval that covers 95
/// in 100. Value.
struct difference
{
    std::string of;
    double before = 0;
    double after = 0;
    double mean = 0;
    double half_width = 0;
    friend bool operator==(difference const&, difference const&) = default;
};

/// By the seeds that both have; empty when these are fewer than two.
std::vector<difference> compare(std::vector<trial_result> const& before,
                                std::vector<trial_result> const& after);

} // namespace mulberry

#endif
