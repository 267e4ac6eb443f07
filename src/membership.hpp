/// The VMs of the cluster, from the newest rows read or written and from the
/// platform's list of VMs.
#ifndef MULBERRY_MEMBERSHIP_HPP
#define MULBERRY_MEMBERSHIP_HPP

#include "ownership_keeper.hpp"
#include "ownership_rules.hpp"
#include "vm_row.hpp"
#include "worker_row.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// Keeps the newest known row of every VM and derives the members from these
/// rows. A member is a VM whose row says live or leaving.
/// Thread safety: none.
class membership
{
public:
    /// `delisted_after`: how long a VM must be missing from the platform's list
    /// before it counts as delisted. `rules` outlives this object.
    membership(duration delisted_after, ownership_rules const& rules);

    /// Stores a row that was read, if it is newer than the known one. Returns
    /// false when the text cannot be parsed; the VM then counts as a VM without
    /// a row, though the row's version is kept.
    /// Precondition: the key has vm_prefix.
    bool store(table_row const& row);
    /// Stores a row that this VM wrote, if it is newer than the known one.
    void store(vm_id const& vm, row_version version, vm_row const& row);
    /// Handles the platform's list of VMs. An empty list is ignored.
    void on_platform_list(std::vector<listed_vm> const& vms, time_point now);
    /// Whether a member, or the platform's list of leaving VMs, changed since
    /// the last call.
    bool take_changed();
    /// Rises whenever the result of assignable() or members() changes.
    std::uint64_t generation() const { return generation_; }

    /// 0 when the row is not known.
    row_version version_of(vm_id const& vm) const;
    /// Null when the row is not known or unreadable.
    vm_row const* row_of(vm_id const& vm) const;
    /// Null when the VM is no member.
    member_view const* member(vm_id const& vm) const;
    std::map<vm_id, member_view> const& members() const { return members_; }
    std::map<vm_id, row_version> member_versions() const;
    /// The incarnations in the rows of all VMs, members or not, whose process
    /// may still send.
    std::vector<incarnation_id> possibly_running() const;
    /// Members that may own workers, sorted by name: those that are ready, not
    /// leaving and not on standby.
    std::vector<vm_id> assignable() const;
    /// Whether the platform's last list contains the VM.
    bool listed(vm_id const& vm) const { return listed_.count(vm) > 0; }

    /// Whether the incarnation is a VM's current one and the VM is a member.
    bool is_current_member(incarnation_id const& who) const;
    /// Whether the incarnation was a member and is one no more. Both this and
    /// is_current_member() are false while the known row of the VM is older
    /// than the incarnation.
    bool is_former_member(incarnation_id const& who) const;
    /// Whether the incarnation's process can certainly send no more.
    bool has_stopped(incarnation_id const& who) const;
    /// Whether the incarnation's process wrote the state `closed` itself.
    bool closed_cleanly(incarnation_id const& who) const;

private:
    struct known_vm
    {
        row_version version;
        std::optional<vm_row> row;
    };

    void adopt(vm_id const& vm, row_version version, std::optional<vm_row> row);
    void refresh_member(vm_id const& vm);
    process_evidence evidence_on(incarnation_id const& who) const;
    void update_delisted(vm_id const& vm, time_point now);

    duration delisted_after_;
    ownership_rules const& rules_;
    std::map<vm_id, known_vm> rows_;
    std::map<vm_id, member_view> members_;
    std::set<vm_id> listed_;
    std::set<vm_id> listed_leaving_;
    std::set<vm_id> ever_listed_;
    std::map<vm_id, time_point> delisted_at_;
    std::set<vm_id> delisted_;
    bool changed_ = false;
    std::uint64_t generation_ = 1;
};

} // namespace mulberry

#endif
