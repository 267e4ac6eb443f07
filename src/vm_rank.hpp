/// The order in which VMs are chosen for duties that only a few VMs have.
#ifndef MULBERRY_VM_RANK_HPP
#define MULBERRY_VM_RANK_HPP

#include "ids.hpp"

#include <vector>

namespace mulberry
{

/// A VM and its processor capacity. Value.
struct ranked_vm
{
    vm_id vm;
    /// In thousandths of a processor core.
    unsigned millicores = 1000;
    friend bool operator==(ranked_vm const&, ranked_vm const&) = default;
};

/// The VMs in descending order of processor capacity; VMs with equal capacity
/// are ordered by a hash of their names. The result is the same on every VM
/// that sees the same VMs. Capacity comes first because the chosen VMs work for
/// many others and the smallest VMs have only an eighth of a core. Pure. Thread
/// safety: any thread.
std::vector<vm_id> by_rank(std::vector<ranked_vm> vms);

} // namespace mulberry

#endif
