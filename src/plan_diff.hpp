/// What differs between two declarations, key by key.
#ifndef MULBERRY_PLAN_DIFF_HPP
#define MULBERRY_PLAN_DIFF_HPP

#include "plan.hpp"

#include <vector>

namespace mulberry
{

/// The changes from one declaration to another, in the order of the file's
/// sections and, within one, of names. Pure; thread safe.
std::vector<plan_change> diff_declarations(declaration const& before,
                                           declaration const& after);

} // namespace mulberry

#endif
