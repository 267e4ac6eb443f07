/// Placement of ready adapters on workers and of workers on VMs. All functions
/// are pure and deterministic: every VM computes the same result from the same
/// input, so that VMs need not coordinate. Thread safety: any thread.
#ifndef MULBERRY_PLACEMENT_HPP
#define MULBERRY_PLACEMENT_HPP

#include "declaration.hpp"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace mulberry
{

/// A 64-bit hash (FNV-1a with the MurmurHash3 finalizer). The result must stay
/// the same on every VM and in every release, since placement depends on it.
std::uint64_t stable_hash(std::string_view text);

/// The workers of the adapter's base model in the order of their rendezvous
/// hashing scores, highest first, at most `max_count`; the first is the
/// adapter's home. Empty if the adapter is not declared; its version is not
/// checked. Linear in the number of workers.
std::vector<worker_id> homes_of(declaration const& configuration,
                                adapter_ref const& adapter,
                                std::size_t max_count);

/// The ready adapters that each worker should keep loaded, in order of
/// declaration. The copies of one adapter are placed on different workers and,
/// where possible, in different failure domains. One adapter slot of each
/// worker stays free, so that a request for another adapter need not evict a
/// ready one.
struct ready_placement
{
    std::map<worker_id, std::vector<adapter_ref>> by_worker;
    /// Ready declarations some of whose copies fit on no worker; `copies` is
    /// the number of copies that could not be placed.
    std::vector<ready_declaration> unplaced;
};
/// Computes the placement of all ready adapters of a configuration.
ready_placement place_ready(declaration const& configuration);

/// Assigns workers to VMs by rendezvous hashing with at most ceil(workers /
/// VMs) workers per VM. The result depends on neither the order of the lists
/// nor on duplicates, and is empty if `live_vms` is. When a VM leaves, few
/// workers other than its own get a new owner.
std::map<worker_id, vm_id> assign_workers(std::vector<worker_id> const& workers,
                                          std::vector<vm_id> const& live_vms);

} // namespace mulberry

#endif
