#include "owner_choice.hpp"

#include <algorithm>

namespace mulberry
{

std::size_t owners_wanted(owner_limits const& limits, std::size_t workers)
{
    if (limits.least_owners == 0)
        return 0;
    std::size_t const each = std::max<std::size_t>(limits.workers_per_owner, 1);
    return std::max(limits.least_owners, (workers + each - 1) / each);
}

bool standby_decision::decide(bool stands_by, owner_situation const& situation,
                              time_point now)
{
    if (!stands_by)
    {
        missing_since_ = never;
        return situation.settled && situation.surplus;
    }
    if (situation.missing_owners == 0)
    {
        missing_since_ = never;
        return true;
    }
    missing_since_ = std::min(missing_since_, now);
    // As many as are missing come at once; the others wait for their turn.
    std::size_t const turns =
        situation.rank < situation.missing_owners
            ? 0
            : situation.rank + 1 - situation.missing_owners;
    return now < missing_since_ + turn_ * static_cast<duration::rep>(turns);
}

} // namespace mulberry
