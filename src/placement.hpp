/// Where a declared-ready adapter lives: pure functions that every VM computes
/// alike from the configuration alone, so that no VM has to be asked.
#ifndef MULBERRY_PLACEMENT_HPP
#define MULBERRY_PLACEMENT_HPP

#include "declaration.hpp"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace mulberry
{

/// A stable 64-bit hash (FNV-1a with a final mix), the same on every VM and in
/// every release.
std::uint64_t stable_hash(std::string_view text);

/// The workers of the adapter's base model by rendezvous hashing, the best
/// home first; at most `most`. Linear in the workers of the base model.
std::vector<worker_id> homes_of(declaration const& configuration,
                                adapter_ref const& adapter, std::size_t most);

/// For each worker the ready adapters it should hold, in order of declaration.
/// Copies go to different workers and, where it can be, different failure
/// domains; a worker is given at most its slots less one (one stays free for
/// whatever is asked for next), and copies that fit nowhere are in `left_out`.
struct ready_placement
{
    std::map<worker_id, std::vector<adapter_ref>> by_worker;
    std::vector<ready_declaration> left_out;
};
ready_placement place_ready(declaration const& configuration);

/// Assigns workers to VMs: rendezvous hashing with at most ceil(workers /
/// VMs) a VM, the same on every VM that sees the same live VMs. A VM that
/// leaves moves little more than its own workers.
std::map<worker_id, vm_id> assign_workers(std::vector<worker_id> const& workers,
                                          std::vector<vm_id> const& live_vms);

} // namespace mulberry

#endif
