/// Decides how many VMs own the workers of a failure domain and whether this VM
/// is one of them or on standby.
#ifndef MULBERRY_OWNER_CHOICE_HPP
#define MULBERRY_OWNER_CHOICE_HPP

#include "time_point.hpp"

#include <cstddef>

namespace mulberry
{

/// Limits on the number of owners in a failure domain. Value.
struct owner_limits
{
    /// Minimum number of VMs that own workers; 0: every VM owns workers.
    std::size_t min_owners = 0;
    /// The number of owners grows beyond the minimum so that no owner has more
    /// workers than this.
    std::size_t workers_per_owner = 8;
    friend bool operator==(owner_limits const&, owner_limits const&) = default;
};

/// How many VMs should own the workers of a failure domain with `workers`
/// workers; 0: all VMs. Thread safety: pure function.
std::size_t required_owners(owner_limits const& limits, std::size_t workers);

/// The owners of this VM's failure domain, as this VM knows them. Value.
struct owner_situation
{
    /// Rows were read after all VMs that started together had registered.
    bool settled = false;
    /// There are more owners than needed, and this VM is not chosen as an owner
    /// and owns no worker.
    bool is_surplus = false;
    /// How many owners are missing.
    std::size_t missing_owners = 0;
    /// How many VMs on standby rank before this VM.
    std::size_t rank = 0;
    friend bool operator==(owner_situation const&,
                           owner_situation const&) = default;
};

/// Decides whether this VM is on standby. Limits the load on the metadata
/// store: with 200 VMs that renew their leases every two seconds, although a
/// few dozen own all workers, renewals are most of the store's load, and every
/// VM receives every renewal. A VM that owns no workers has no lease to lose,
/// so it goes on standby and renews its row less often. When owners are
/// missing, VMs on standby replace them in order of rank with a delay per rank,
/// so that a VM that has failed too is passed over. Thread safety: none. Uses
/// no I/O and no clock.
class standby_decision
{
public:
    /// `delay_per_rank`: how long a VM on standby waits for each VM before it.
    explicit standby_decision(duration delay_per_rank)
        : delay_per_rank_(delay_per_rank)
    {
    }

    /// Whether this VM is to be on standby from now on; `stands_by`: whether it
    /// is now.
    bool decide(bool stands_by, owner_situation const& situation,
                time_point now);

private:
    duration delay_per_rank_;
    time_point missing_since_ = never;
};

} // namespace mulberry

#endif
