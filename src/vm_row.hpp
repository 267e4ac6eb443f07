/// A VM's row in the table.
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

/// Value.
struct vm_row
{
    /// Unique to each write: whoever lost the answer knows its own write by it.
    std::string token;
    incarnation incarnation_number;
    /// The first life of the process that wrote the row. A process registers
    /// again when its lease lapsed, so that one process can have several lives.
    incarnation process_first_incarnation;
    /// The processes of all lives below that one have ended.
    incarnation ended_below;
    std::string address;
    domain_id domain;
    member_state state = member_state::live;
    /// Knows the workers of the configuration, so that it can take some.
    bool ready = false;
    /// The platform's list has had the VM, in this life or an earlier one.
    bool listed = false;
    std::uint64_t renewal_count = 0;
    /// Rows up to this version of the table were written longer before this
    /// row than the gap between two owners' orders.
    row_version settled_version;
    /// Owns no workers, so that it renews the row seldom; see owner_choice.hpp.
    bool stands_by = false;
    /// Thousandths of a processor core that the VM has.
    unsigned millicores = 1000;
    friend bool operator==(vm_row const&, vm_row const&) = default;
};

std::string vm_key(vm_id const& vm);
/// Precondition: the key has the prefix.
vm_id vm_of_key(std::string const& key);

std::string to_text(vm_row const& row);
/// None when the text is no such row.
std::optional<vm_row> parse_vm_row(std::string const& text);

/// Whether the VM may own workers in that state.
bool is_member(member_state state);

/// So many times as long as an owner's are the lease of a VM that stands by and
/// the time between two renewals. It owns nothing that anybody waits for; until
/// its lease lapses others count a VM that is gone among those that share the
/// allowance of repeats, which makes their shares too small, never too large.
inline constexpr int standby_lease_factor = 12;

} // namespace mulberry

#endif
