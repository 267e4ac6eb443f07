/// This VM's share of the weight store's rate and width.
#ifndef MULBERRY_LOAD_BUDGET_HPP
#define MULBERRY_LOAD_BUDGET_HPP

#include "declaration.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace mulberry
{

/// What a VM tells its peers of its loads: totals that only rise, so that a
/// lost or repeated message does no harm.
struct load_counts
{
    incarnation vm_incarnation;
    std::uint64_t started = 0;
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    friend bool operator==(load_counts const&, load_counts const&) = default;
};

/// Behaviour that varies: how the store's rate is shared. Thread safety: none.
class load_budget
{
public:
    virtual ~load_budget() = default;
    virtual void configure(store_declaration const& store) = 0;
    /// The live VMs, this one among them.
    virtual void set_members(std::size_t live_vms, time_point now) = 0;
    /// Whether a load may start now; if so it is counted.
    virtual bool try_start(time_point now) = 0;
    virtual void finished(time_point now) = 0;
    /// How many loads wait here for a permit, for demand.
    virtual void set_waiting(std::size_t waiting, time_point now) = 0;
    /// Counts heard from a peer.
    virtual void update_peer_counts(vm_id const& peer,
                                    load_counts const& counts,
                                    time_point now) = 0;
    virtual load_counts counts() const = 0;
    /// When a permit may next be had, for Retry-After and ticks.
    virtual time_point next_permit(time_point now) const = 0;
};

/// `even_split` or `exchanged_counts`.
std::unique_ptr<load_budget> make_load_budget(std::string_view name);

} // namespace mulberry

#endif
