/// The order in which VMs are given duties that few of them need to have.
#ifndef MULBERRY_VM_RANK_HPP
#define MULBERRY_VM_RANK_HPP

#include "ids.hpp"

#include <vector>

namespace mulberry
{

/// A VM and what it has to work with. Value.
struct ranked_vm
{
    vm_id vm;
    /// Thousandths of a processor core.
    unsigned millicores = 1000;
    friend bool operator==(ranked_vm const&, ranked_vm const&) = default;
};

/// The VMs with the most processor first, among equals by a hash of their
/// names: the same on every VM that sees the same ones. Load it answers: a few
/// VMs work for many others, and the smallest have an eighth of a core. Pure;
/// any thread.
std::vector<vm_id> by_rank(std::vector<ranked_vm> vms);

} // namespace mulberry

#endif
