/// The rules that ownership rests on, one function each, so that a test can
/// leave one out and see the violation reported.
#ifndef MULBERRY_OWNERSHIP_RULES_HPP
#define MULBERRY_OWNERSHIP_RULES_HPP

#include "ids.hpp"
#include "table.hpp"
#include "time_point.hpp"

#include <vector>

namespace mulberry
{

/// What is known of the process behind one life of a VM.
struct process_evidence
{
    /// Its row says closed: nothing of it was in progress any more.
    bool closed = false;
    /// A later process has listened on its IP and port.
    bool address_reused = false;
    /// Its row says that it is no member any more.
    bool expired = false;
    /// Its VM, once in the platform's list, has been missing from it for long.
    bool delisted = false;
};

/// Thread safety: stateless; const calls from any thread.
class ownership_rules
{
public:
    virtual ~ownership_rules() = default;

    /// Whether a row that was read replaces the one known.
    virtual bool is_newer(row_version known, row_version read) const;
    /// Whether writes depend on the versions of the rows they rest on.
    virtual bool writes_conditionally() const;
    /// Whether another VM's lease has lapsed, having been seen unchanged.
    virtual bool lapsed(time_point lapses_at, time_point now) const;
    /// Whether a holder may count on its own lease.
    virtual bool own_lease_valid(time_point own_lease_until,
                                 time_point now) const;
    /// Whether the process behind a life can certainly send no more.
    virtual bool has_stopped_sending(process_evidence const& evidence) const;
    virtual fencing_number next_fence(fencing_number fence) const;
    /// The open intents that a new owner takes over with the row.
    virtual std::vector<engine_name>
    inherited(std::vector<engine_name> intents) const;
    /// Whether an intent that is said to be over may leave the row.
    virtual bool may_forget(bool inherited, bool suspects_cleared) const;
    /// Whether an intent counts as recorded after its write ended so.
    virtual bool intent_recorded(table_outcome outcome) const;
};

/// The rules as they are. Lives as long as the process.
ownership_rules const& standard_ownership_rules();

} // namespace mulberry

#endif
