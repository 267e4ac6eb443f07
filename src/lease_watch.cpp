#include "lease_watch.hpp"

namespace mulberry
{

lease_watch::lease_watch(duration lease) : lease_(lease) {}

// Failure: the table is down for all, or this VM was paused; when it returns,
// every other VM's row looks unchanged for long. Symptom: all VMs expire one
// another and every worker moves. Time without scans says nothing about a
// holder, so after a gap every observation starts anew.
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

// Failure: a VM renews its lease just before it is expired; the conflict shows
// its new row, and the next attempt, resting on that row, succeeds. Symptom: a
// VM is expired a moment after it renewed. An observation counts for the
// version that was observed only.
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
