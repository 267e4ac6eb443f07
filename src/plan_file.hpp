/// A plan kept in a file between `plan --output` and `confirm`.
#ifndef MULBERRY_PLAN_FILE_HPP
#define MULBERRY_PLAN_FILE_HPP

#include "declaration_text.hpp"
#include "ids.hpp"

#include <json/value.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

/// Immutable value.
struct plan_file
{
    /// The version that the plan starts from.
    config_version base;
    std::string digest;
    /// The canonical text that the digest is of.
    std::string declaration;
    /// As the system answered it; for people who look into the file.
    Json::Value plan;
};

/// Reads a plan file; a digest that does not fit the declaration is a fault,
/// so that what is confirmed is what was planned.
std::variant<plan_file, std::vector<text_fault>>
parse_plan_file(std::string_view text, std::string const& file);

std::string write_plan_file(plan_file const& value);

} // namespace mulberry

#endif
