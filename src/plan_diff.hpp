/// The differences between two declarations, key by key.
#ifndef MULBERRY_PLAN_DIFF_HPP
#define MULBERRY_PLAN_DIFF_HPP

#include "plan.hpp"

#include <vector>

namespace mulberry
{

/// The changes from one declaration to another, ordered by section as in the
/// file and by name within each section. Pure. Thread safety: any thread.
std::vector<plan_change> diff_declarations(declaration const& before,
                                           declaration const& after);

} // namespace mulberry

#endif
