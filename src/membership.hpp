/// Which VMs there are: their rows, newest first known, and the platform's
/// list.
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

/// Thread safety: none. `rules` outlives this object.
class membership
{
public:
    membership(duration delisted_after, ownership_rules const& rules);

    /// Takes a row that was read or written. False when it is no VM's row,
    /// which is then as good as unwritten.
    bool store(table_row const& row);
    void store(vm_id const& vm, row_version version, vm_row const& row);
    void on_platform_list(std::vector<listed_vm> const& vms, time_point now);
    /// Whether members changed since the last call.
    bool take_changed();
    /// Rises whenever what assignable() or members() return changes.
    std::uint64_t generation() const { return generation_; }

    /// 0 when the row is not known.
    row_version version_of(vm_id const& vm) const;
    /// Null when the row is not known or unreadable.
    vm_row const* row_of(vm_id const& vm) const;
    member_view const* member(vm_id const& vm) const;
    std::map<vm_id, member_view> const& members() const { return members_; }
    std::map<vm_id, row_version> member_versions() const;
    /// Every VM whose process may still act, members or not.
    std::vector<incarnation_id> possibly_running() const;
    /// Members that may be given workers, in the order of their names; those
    /// that stand by are not among them.
    std::vector<vm_id> assignable() const;
    bool listed(vm_id const& vm) const { return listed_.count(vm) > 0; }

    /// Whether that life is a member's.
    bool is_current_member(incarnation_id const& who) const;
    /// Whether that life was and is no member any more. Neither this nor
    /// is_current_member() holds while the VM's row is older than what is asked
    /// about.
    bool is_former_member(incarnation_id const& who) const;
    /// Whether its process can certainly send no more.
    bool has_stopped(incarnation_id const& who) const;
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
