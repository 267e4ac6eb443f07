#include "ownership_rules.hpp"

namespace mulberry
{

// Failure: a lagging read answers from the past, so a VM that handed a worker
// over reads that it still owns it. Symptom: two VMs give orders. Versions rise
// over the whole table, so the highest one seen is the newest state known.
bool ownership_rules::is_newer(row_version known, row_version read) const
{
    return read > known;
}

// Failure: two VMs take the same worker on what each has read, or a write that
// was given up for lost lands later. Symptom: two owners under one fencing
// number. A write that names the versions it rests on lands at most once and
// only on the state that its writer knew.
bool ownership_rules::writes_conditionally() const
{
    return true;
}

// Failure: a live VM is expired because its heartbeat was seen late. Symptom:
// its workers move although it serves. The observer's own clock must have run
// for a whole lease, counted only while its reads succeed.
bool ownership_rules::lapsed(time_point lapses_at, time_point now) const
{
    return now >= lapses_at;
}

// Failure: a VM cut off from the table goes on giving orders. Symptom: it and
// its successor both load and unload. The holder counts from the moment it
// asked, observers from the later moment they saw the answer, and the holder
// stops a margin earlier; so it stops first on clocks that run alike.
bool ownership_rules::own_lease_valid(time_point own_lease_until,
                                      time_point now) const
{
    return now < own_lease_until;
}

// Failure: an expired VM was only paused, between its check of the lease and
// its send. Symptom: it sends a request to an adapter that its successor has
// just evicted. No length of time rules that out, so time alone never clears
// it. Each of these does: it wrote `closed` itself with nothing in progress;
// another process listens on its IP and port, which it would still hold; or
// the platform, which had listed its VM, lists it no more.
bool ownership_rules::has_stopped_sending(
    process_evidence const& evidence) const
{
    return evidence.closed || evidence.address_reused ||
           (evidence.expired && evidence.delisted);
}

// Failure: a late order of an earlier owner reaches the engine. Symptom: it is
// taken for the new owner's. Each owner has a higher number than all before.
fencing_number ownership_rules::next_fence(fencing_number fence) const
{
    return fencing_number(fence.value() + 1);
}

// Failure: an unload that an earlier owner recorded is still on its way.
// Symptom: the new owner routes a request to that name as it vanishes. The new
// owner inherits every open intent and never routes to such a name.
std::vector<engine_name>
ownership_rules::inherited(std::vector<engine_name> intents) const
{
    return intents;
}

// Failure: a new owner sees that an inherited unload has not been done and
// forgets it, while the earlier owner, paused, has yet to send it. Symptom: a
// later owner loads that name and has it unloaded under a request. An inherited
// intent stays until those who may send it have signed off or ended.
bool ownership_rules::may_forget(bool inherited, bool suspects_cleared) const
{
    return !inherited || suspects_cleared;
}

// Failure: the answer to an intent's write is lost and the write with it.
// Symptom: the unload is sent, and a successor knows nothing of it. Only a
// write that the table confirms counts.
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
