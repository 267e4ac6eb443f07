/// Determines by this VM's own clock when other VMs' leases lapse.
#ifndef MULBERRY_LEASE_WATCH_HPP
#define MULBERRY_LEASE_WATCH_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <map>
#include <optional>

namespace mulberry
{

/// Records since when the row of each member has been unchanged.
/// Thread safety: none.
class lease_watch
{
public:
    explicit lease_watch(duration lease);

    /// Records the versions of the members' rows after a successful scan.
    void on_scan(std::map<vm_id, row_version> const& members, time_point now);
    /// When the VM's lease lapses if its row stays at this version; none when
    /// the last scan did not show this version.
    std::optional<time_point> lapses_at(vm_id const& vm,
                                        row_version version) const;
    /// Whether the last successful scan is at most half a lease old.
    bool is_current(time_point now) const;

private:
    struct observation
    {
        row_version version;
        time_point lapses_at{};
    };

    duration lease_;
    /// When the last scan becomes too old for its observations to be used.
    time_point outdated_at_ = time_point::min();
    std::map<vm_id, observation> observations_;
};

} // namespace mulberry

#endif
