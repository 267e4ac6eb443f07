/// Rate limit for adapter loads: this VM's share of the weight store's load
/// rate and concurrent loads.
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

/// The load counts that a VM reports to its peers. A lost or repeated message
/// does no harm: a report replaces the previous one, and `started` never
/// decreases within an incarnation, which shows whether a report is outdated.
struct load_counts
{
    incarnation vm_incarnation;
    /// Loads started since the VM's start.
    std::uint64_t started = 0;
    /// Loads that wait for a permit now.
    std::uint64_t waiting = 0;
    /// Loads in progress now.
    std::uint64_t running = 0;
    friend bool operator==(load_counts const&, load_counts const&) = default;
};

/// Decides when this VM may start a load. Implementations differ in how the VMs
/// share the store's rate. Thread safety: none.
class load_budget
{
public:
    virtual ~load_budget() = default;
    virtual void configure(store_declaration const& store) = 0;
    /// Sets the number of live VMs, including this one.
    virtual void set_members(std::size_t live_vms, time_point now) = 0;
    /// Returns whether a load may start now, and if so counts it as started and
    /// running.
    virtual bool try_start(time_point now) = 0;
    /// Must be called once for each load that try_start() allowed, when the
    /// load has ended.
    virtual void finished(time_point now) = 0;
    /// Sets how many loads wait for a permit on this VM.
    virtual void set_waiting(std::size_t waiting, time_point now) = 0;
    /// Handles the counts reported by a peer. Outdated reports are ignored.
    virtual void update_peer_counts(vm_id const& peer,
                                    load_counts const& counts,
                                    time_point now) = 0;
    /// This VM's counts, to be reported to the peers; vm_incarnation has its
    /// default value.
    virtual load_counts counts() const = 0;
    /// The earliest time at which the rate allows a load; `now` if it does
    /// already, `never` if the rate is 0. The limit on concurrent loads is not
    /// considered. Lets the caller evict no adapter before the replacement may
    /// be loaded.
    virtual time_point next_permit(time_point now) const = 0;
};

/// Precondition: `name` is `even_split` or `exchanged_counts`.
std::unique_ptr<load_budget> make_load_budget(std::string_view name);

} // namespace mulberry

#endif
