#include "lease_watch.hpp"

namespace mulberry
{

lease_watch::lease_watch(duration lease) : lease_(lease) {}

// Prevents that all VMs expire one another, and all workers move, after the
// table was unavailable or this VM was paused: every other VM's row then looks
// unchanged for long. Time without scans says nothing about a lease holder, so
// all observations restart after a gap between scans.
void lease_watch::on_scan(std::map<vm_id, row_version> const& members,
                          time_point now)
{
    if (!is_current(now))
        observations_.clear();
    outdated_at_ = now + lease_ / 2;
    std::map<vm_id, observation> seen;
    for (auto const& [vm, version] : members)
    {
        auto const known = observations_.find(vm);
        bool const unchanged =
            known != observations_.end() && known->second.version == version;
        seen[vm] =
            unchanged ? known->second : observation{version, now + lease_};
    }
    observations_.swap(seen);
}

// Prevents that a VM is expired just after it renewed its lease: the first
// write that expires the VM conflicts with the renewal and returns the new row,
// and a second write, conditional on the new row, would succeed. An observation
// is valid only for the version that was observed.
std::optional<time_point> lease_watch::lapses_at(vm_id const& vm,
                                                 row_version version) const
{
    auto const known = observations_.find(vm);
    if (known == observations_.end() || known->second.version != version)
        return std::nullopt;
    return known->second.lapses_at;
}

bool lease_watch::is_current(time_point now) const
{
    return now < outdated_at_;
}

} // namespace mulberry
