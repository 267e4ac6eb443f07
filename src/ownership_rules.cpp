#include "ownership_rules.hpp"

namespace mulberry
{

// Prevents two VMs from giving orders to one worker: a lagging read returns an
// old row, in which a VM that handed a worker over still owns the worker.
// Versions rise over the whole table, so the row with the highest version is
// the newest.
bool ownership_rules::is_newer(row_version known, row_version read) const
{
    return read > known;
}

// Prevents two owners with one fencing number: two VMs take the same worker
// after reading the same rows, or a write that was considered lost is applied
// later. A write conditional on row versions is applied at most once, and only
// to the state that its writer knew.
bool ownership_rules::writes_conditionally() const
{
    return true;
}

// Prevents that a live VM is expired, and its workers moved, because its
// heartbeat was seen late. The row must have been unchanged for a whole lease
// on the observer's own clock, counted only while the observer's reads succeed.
bool ownership_rules::lapsed(time_point lapses_at, time_point now) const
{
    return now >= lapses_at;
}

// Prevents that a VM that lost its connection to the table and the VM's
// successor both load and unload adapters. The holder counts its lease from the
// moment at which it sent the renewal, observers count from the later moment at
// which they read the row, and the holder stops a margin earlier. So the holder
// stops first if the clocks run at the same rate.
bool ownership_rules::own_lease_valid(time_point own_lease_until,
                                      time_point now) const
{
    return now < own_lease_until;
}

// Prevents that an expired VM that was paused between the check of its lease
// and its send wakes up and sends a request to an adapter that its successor
// has just evicted. A pause may last any length of time, so a timeout is no
// proof. Each of these facts is: the process wrote `closed` itself with nothing
// in progress; another process listens on its IP address and port, which the
// process would still hold; or the VM is expired and the platform, which had
// listed the VM, lists the VM no more.
bool ownership_rules::has_stopped_sending(
    process_evidence const& evidence) const
{
    return evidence.closed || evidence.address_reused ||
           (evidence.expired && evidence.delisted);
}

// Prevents that a late order of an earlier owner is mistaken for an order of
// the new owner: each owner has a higher fencing number than all earlier
// owners.
fencing_number ownership_rules::next_fence(fencing_number fence) const
{
    return fencing_number(fence.value() + 1);
}

// Prevents that the new owner routes a request to an adapter that is being
// unloaded by a late order of an earlier owner. The new owner inherits every
// open intent and never routes requests to the adapter named in an intent.
std::vector<engine_name>
ownership_rules::inherited(std::vector<engine_name> intents) const
{
    return intents;
}

// Prevents that an adapter is unloaded while a request uses it: a new owner
// sees that an inherited unload has not been done and removes the intent, while
// the earlier owner is paused and has yet to send the order; a later owner then
// loads an adapter of that name. An inherited intent stays in the row until
// every suspect, which may still send the order, has left the list or ended.
bool ownership_rules::may_forget(bool inherited, bool suspects_cleared) const
{
    return !inherited || suspects_cleared;
}

// Prevents that an unload is sent of which a successor does not know, because
// both the write of the intent and its reply were lost. An intent counts as
// recorded only when the table confirms the write.
bool ownership_rules::intent_recorded(table_outcome outcome) const
{
    return outcome == table_outcome::done;
}

ownership_rules const& standard_ownership_rules()
{
    static ownership_rules const rules;
    return rules;
}

} // namespace mulberry
