/// The file that `plan --output` writes and `confirm` reads.
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
    /// The confirmed version that the plan is based on.
    config_version base;
    /// SHA-256 of `declaration`, in hexadecimal.
    std::string digest;
    /// The canonical text of the planned declaration.
    std::string declaration;
    /// The plan as the daemon returned it; only for people who read the file.
    Json::Value plan;
};

/// Reads a plan file, or returns all faults found in the file. A digest that
/// does not match the declaration is a fault, so that an operator can only
/// confirm the declaration that was planned. `file` is the name used in faults.
std::variant<plan_file, std::vector<text_fault>>
parse_plan_file(std::string_view text, std::string const& file);

std::string write_plan_file(plan_file const& value);

} // namespace mulberry

#endif
