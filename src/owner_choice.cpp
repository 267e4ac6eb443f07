#include "owner_choice.hpp"

#include <algorithm>

namespace mulberry
{

std::size_t required_owners(owner_limits const& limits, std::size_t workers)
{
    if (limits.min_owners == 0)
        return 0;
    std::size_t const workers_per_owner =
        std::max<std::size_t>(limits.workers_per_owner, 1);
    return std::max(limits.min_owners,
                    (workers + workers_per_owner - 1) / workers_per_owner);
}

bool standby_decision::decide(bool stands_by, owner_situation const& situation,
                              time_point now)
{
    if (!stands_by)
    {
        missing_since_ = never;
        return situation.settled && situation.is_surplus;
    }
    if (situation.missing_owners == 0)
    {
        missing_since_ = never;
        return true;
    }
    missing_since_ = std::min(missing_since_, now);
    // The first VMs, as many as owners are missing, start at once; the others
    // wait by rank.
    std::size_t const ranks_to_wait =
        situation.rank < situation.missing_owners
            ? 0
            : situation.rank + 1 - situation.missing_owners;
    return now < missing_since_ + delay_per_rank_ *
                                      static_cast<duration::rep>(ranks_to_wait);
}

} // namespace mulberry
