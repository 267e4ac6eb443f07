/// The checks that uphold what must always hold, behind one interface.
///
/// Every check that a promise to callers rests on is asked through this
/// interface, so that a test can replace one by a double that leaves it out
/// and show that the history checker then names the violation.
#ifndef MULBERRY_SAFEGUARDS_HPP
#define MULBERRY_SAFEGUARDS_HPP

#include "attempt_event.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>

namespace mulberry
{

/// What is known of a loaded adapter when it might be evicted.
struct eviction_facts
{
    /// Requests that this VM sent under that engine name and that have not
    /// ended.
    std::size_t sent = 0;
    /// Requests that wait here to be sent under it.
    std::size_t waiting = 0;
    /// Whether an earlier owner may still have, or may yet send, a request
    /// under that name.
    bool pinned_by_previous_owner = false;
};

/// What is known of this VM when new work is offered.
struct admission_facts
{
    bool leaving = false;
    /// Whether the configuration is known to hold at this moment.
    bool configuration_known = true;
};

/// What the table says of the claim under an Idempotency-Key.
enum class claim_state
{
    /// This VM's own claim is recorded and no call was made under it.
    ours,
    /// Another request, or an earlier one, holds it.
    held,
    /// Not known: the table did not answer.
    unknown
};

/// Thread safety: stateless; const calls from any thread.
class safeguards
{
public:
    virtual ~safeguards() = default;

    /// "Processed by exactly the adapter and version": the engine echoes the
    /// name that it ran; any other name is another adapter's answer.
    virtual bool answers_request(engine_name const& sent,
                                 engine_name const& echoed,
                                 request_id const& request,
                                 request_id const& echoed_request) const;

    /// "Never evicted while that request is in flight."
    virtual bool may_evict(eviction_facts const& facts) const;

    /// "The whole answer, never part of another's": an event is passed on
    /// only in its place.
    virtual bool is_next_event(std::uint64_t expected,
                               std::uint64_t offset) const;

    /// Whether an answer that stopped at that stage may be told as ended.
    virtual bool is_complete_answer(bool end_seen) const;

    /// "Not run" is said, and the request tried elsewhere, only when certain.
    virtual bool certainly_not_run(failure_stage stage) const;

    /// "At most once": a call that may not be repeated is made only under
    /// this VM's own recorded claim.
    virtual bool may_call_once(claim_state claim) const;

    /// "A leaving VM receives no new work", nor does one that cannot know
    /// whether its configuration still holds.
    virtual bool takes_new_work(admission_facts const& facts) const;

    /// "A graceful shutdown interrupts no request."
    virtual bool may_stop(std::size_t requests_in_progress) const;

    /// "Never reverts": only a higher version replaces the one in force.
    virtual bool replaces(config_version in_force,
                          config_version offered) const;
};

} // namespace mulberry

#endif
