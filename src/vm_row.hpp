/// A VM's row in the metadata table.
#ifndef MULBERRY_VM_ROW_HPP
#define MULBERRY_VM_ROW_HPP

#include "ids.hpp"
#include "ownership_keeper.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mulberry
{

inline constexpr char const* vm_prefix = "vm/";

/// Membership data of a VM, written by the VM and, when its lease has lapsed,
/// by other VMs. Value.
struct vm_row
{
    /// Unique to each write, so that a writer whose reply was lost recognizes
    /// its own write when it reads the row.
    std::string token;
    incarnation incarnation_number;
    /// The first incarnation number of the process that wrote the row. A
    /// process whose lease lapsed registers again under a higher number, so one
    /// process can have several numbers.
    incarnation process_first_incarnation;
    /// The processes of all incarnations with lower numbers have ended.
    incarnation ended_below;
    /// IP:PORT of the listener for other VMs.
    std::string address;
    domain_id domain;
    member_state state = member_state::live;
    /// The VM knows the workers of the configuration and can own workers.
    bool ready = false;
    /// The VM has been in the platform's list, in this incarnation or an
    /// earlier one.
    bool listed = false;
    /// Changes the row at each renewal, so that observers see the lease
    /// renewed.
    std::uint64_t renewal_count = 0;
    /// Rows up to this table version were written at least
    /// ownership_settings::order_gap before this row.
    row_version settled_version;
    /// The VM is on standby: it owns no workers and renews its row less often;
    /// see owner_choice.hpp.
    bool stands_by = false;
    /// Processor capacity of the VM in thousandths of a core.
    unsigned millicores = 1000;
    /// The VM reaches no worker.
    bool cut_off = false;
    friend bool operator==(vm_row const&, vm_row const&) = default;
};

std::string vm_key(vm_id const& vm);
/// Precondition: the key has vm_prefix.
vm_id vm_of_key(std::string const& key);

std::string to_text(vm_row const& row);
/// None when the text is no valid VM row.
std::optional<vm_row> parse_vm_row(std::string const& text);

/// Whether a VM in this state is a member and may own workers.
bool is_member(member_state state);

/// Lease and renewal interval of a VM on standby, as a multiple of an owner's.
/// No request waits for a VM without workers. Until the lease of a lost VM
/// lapses, other VMs still count it when they divide the retry budget, which
/// makes their shares too small but never too large.
inline constexpr int standby_lease_factor = 12;

} // namespace mulberry

#endif
