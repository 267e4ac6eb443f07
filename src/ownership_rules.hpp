/// The safety rules of ownership, one function each. Tests override single
/// rules to show that leaving out a rule causes a violation.
#ifndef MULBERRY_OWNERSHIP_RULES_HPP
#define MULBERRY_OWNERSHIP_RULES_HPP

#include "ids.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <vector>

namespace mulberry
{

/// What is known about the process of one incarnation of a VM. Value.
struct process_evidence
{
    /// Its row says closed: the process had nothing in progress any more.
    bool closed = false;
    /// A later process has listened on the same IP address and port.
    bool address_reused = false;
    /// Its row says that the VM is no member any more.
    bool expired = false;
    /// The VM was in the platform's list and has been missing from the list for
    /// ownership_settings::delisted_after.
    bool delisted = false;
};

/// Thread safety: stateless; const calls from any thread.
class ownership_rules
{
public:
    virtual ~ownership_rules() = default;

    /// Whether a row that was read is newer than the known one and replaces
    /// it.
    virtual bool is_newer(row_version known, row_version read) const;
    /// Whether a write is conditional on the versions of the rows on which the
    /// decision to write was based.
    virtual bool writes_conditionally() const;
    /// Whether the lease of another VM, whose row was seen unchanged, has
    /// lapsed.
    virtual bool lapsed(time_point lapses_at, time_point now) const;
    /// Whether this VM may still rely on its own lease.
    virtual bool own_lease_valid(time_point own_lease_until,
                                 time_point now) const;
    /// Whether the process can certainly send no more.
    virtual bool has_stopped_sending(process_evidence const& evidence) const;
    /// The fencing number of the next owner.
    virtual fencing_number next_fence(fencing_number fence) const;
    /// The open intents that a new owner inherits from the worker's row.
    virtual std::vector<engine_name>
    inherited(std::vector<engine_name> intents) const;
    /// Whether an intent whose order is over may be removed from the row.
    virtual bool may_forget(bool inherited, bool suspects_cleared) const;
    /// Whether an intent counts as recorded after its write had this outcome.
    virtual bool intent_recorded(table_outcome outcome) const;
};

/// The rules used in production. The object exists until the process ends.
ownership_rules const& standard_ownership_rules();

} // namespace mulberry

#endif
