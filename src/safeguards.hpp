/// The safety checks that the guarantees to callers depend on.
///
/// Every such check is a virtual function, so that a test can disable a check
/// and verify that the history checker then detects the violation.
#ifndef MULBERRY_SAFEGUARDS_HPP
#define MULBERRY_SAFEGUARDS_HPP

#include "attempt_event.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>

namespace mulberry
{

/// State of a loaded adapter that is considered for eviction.
struct eviction_facts
{
    /// Requests that this VM sent with the adapter's engine name and that have
    /// not ended.
    std::size_t sent = 0;
    /// Requests that wait on this VM to be sent with that engine name.
    std::size_t waiting = 0;
    /// Whether a previous owner may have a request with that engine name in
    /// progress or may still send one.
    bool pinned_by_previous_owner = false;
};

/// This VM's state when a new request arrives.
struct admission_facts
{
    /// Whether the VM is shutting down gracefully.
    bool leaving = false;
    /// Whether this VM knows that its configuration is still in force.
    bool configuration_known = true;
};

/// State of the claim for an Idempotency-Key in the table.
enum class claim_state
{
    /// This VM's claim is recorded and no call was made with the claim.
    ours,
    /// Another request or an earlier request holds the claim.
    held,
    /// The table did not answer.
    unknown
};

/// The checks in force in production. Thread safety: stateless; const calls
/// from any thread.
class safeguards
{
public:
    virtual ~safeguards() = default;

    /// Whether an answer belongs to the request, by the engine name and the
    /// request id that the engine echoes. A different name means that another
    /// adapter or version produced the answer. Guarantees "processed by exactly
    /// the adapter and version".
    virtual bool answers_request(engine_name const& sent,
                                 engine_name const& echoed,
                                 request_id const& request,
                                 request_id const& echoed_request) const;

    /// Whether an adapter may be evicted. Guarantees "never evicted while that
    /// request is in flight".
    virtual bool may_evict(eviction_facts const& facts) const;

    /// Whether a stream event has the offset that is expected next; only such
    /// an event is passed on. Guarantees "the whole answer, never part of
    /// another's".
    virtual bool is_next_event(std::uint64_t expected,
                               std::uint64_t offset) const;

    /// Whether an answer may be reported as complete. `end_seen`: the answer's
    /// last event was received.
    virtual bool is_complete_answer(bool end_seen) const;

    /// Whether a request whose attempt failed at that stage has certainly not
    /// been executed. Only then is the caller told "not run" or the request
    /// retried at another worker.
    virtual bool certainly_not_run(failure_stage stage) const;

    /// Whether a call that is not idempotent may be made: only with this VM's
    /// own recorded claim. Guarantees "at most once".
    virtual bool may_call_once(claim_state claim) const;

    /// Whether this VM accepts new requests. Guarantees "a leaving VM receives
    /// no new work"; a VM that cannot know whether its configuration is still
    /// in force accepts none either.
    virtual bool takes_new_work(admission_facts const& facts) const;

    /// Whether a leaving VM may exit. Guarantees "a graceful shutdown
    /// interrupts no request".
    virtual bool may_stop(std::size_t requests_in_progress) const;

    /// Whether the offered configuration version replaces the version in force:
    /// only if it is higher. Guarantees "never reverts".
    virtual bool replaces(config_version in_force,
                          config_version offered) const;
};

} // namespace mulberry

#endif
