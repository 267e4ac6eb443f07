/// Which VMs own the workers of a failure domain, and which stand by.
#ifndef MULBERRY_OWNER_CHOICE_HPP
#define MULBERRY_OWNER_CHOICE_HPP

#include "time_point.hpp"

#include <cstddef>

namespace mulberry
{

struct owner_limits
{
    /// The least number of VMs that own workers in a failure domain; 0: every
    /// VM does.
    std::size_t min_owners = 0;
    /// Where that would be more workers than this for each, there are more
    /// owners.
    std::size_t workers_per_owner = 8;
    friend bool operator==(owner_limits const&, owner_limits const&) = default;
};

/// How many VMs own the workers of a failure domain that has so many; 0: all
/// that are there. Pure; any thread.
std::size_t required_owners(owner_limits const& limits, std::size_t workers);

/// What a VM knows of its failure domain. Value.
struct owner_situation
{
    /// Rows are known that were read after all VMs that started together had
    /// registered.
    bool settled = false;
    /// This VM is not among the owners, and no worker is its own.
    bool is_surplus = false;
    /// So many owners fewer than wanted.
    std::size_t missing_owners = 0;
    /// How many of those that stand by come before this VM.
    std::size_t rank = 0;
    friend bool operator==(owner_situation const&,
                           owner_situation const&) = default;
};

/// Load it answers: two hundred VMs renew their leases at the store every two
/// seconds, though a few dozen own all workers; it is most of what the store is
/// asked, and every VM hears of every renewal. A VM that owns nothing has no
/// lease to lose: it stands by and renews its row seldom. When owners are
/// missing those that stand by take their place in turns, so that one leaves
/// its place to the next if it is gone itself. Thread safety: none. Pure: no
/// I/O, no clock.
class standby_decision
{
public:
    /// `turn`: how long the VMs wait for each that comes before them.
    explicit standby_decision(duration delay_per_rank)
        : delay_per_rank_(delay_per_rank)
    {
    }

    /// Whether this VM is to stand by from now on.
    bool decide(bool stands_by, owner_situation const& situation,
                time_point now);

private:
    duration delay_per_rank_;
    time_point missing_since_ = never;
};

} // namespace mulberry

#endif
