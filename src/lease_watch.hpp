/// Judges, by one VM's own clock, which other VMs' leases have lapsed.
#ifndef MULBERRY_LEASE_WATCH_HPP
#define MULBERRY_LEASE_WATCH_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <map>
#include <optional>

namespace mulberry
{

/// Thread safety: none.
class lease_watch
{
public:
    explicit lease_watch(duration lease);

    /// The members' row versions after a successful scan.
    void on_scan(std::map<vm_id, row_version> const& members, time_point now);
    /// The moment from which the VM's lease counts as lapsed while its row
    /// stays at that version; none when the row is not watched at it.
    std::optional<time_point> lapses_at(vm_id const& vm,
                                        row_version version) const;
    /// Whether scans have been succeeding up to now.
    bool is_current(time_point now) const;

private:
    struct observation
    {
        row_version version;
        time_point lapses_at{};
    };

    duration lease_;
    /// When the last scan is too old to go on from.
    time_point outdated_at_ = time_point::min();
    std::map<vm_id, observation> observations_;
};

} // namespace mulberry

#endif
