#include "safeguards.hpp"

namespace mulberry
{

bool safeguards::answers_request(engine_name const& sent,
                                 engine_name const& echoed,
                                 request_id const& request,
                                 request_id const& echoed_request) const
{
    return sent == echoed && request == echoed_request;
}

bool safeguards::may_evict(eviction_facts const& facts) const
{
    return facts.sent == 0 && facts.waiting == 0 &&
           !facts.pinned_by_previous_owner;
}

bool safeguards::is_next_event(std::uint64_t expected,
                               std::uint64_t offset) const
{
    return offset == expected;
}

bool safeguards::is_complete_answer(bool end_seen) const
{
    return end_seen;
}

bool safeguards::certainly_not_run(failure_stage stage) const
{
    return stage == failure_stage::not_sent || stage == failure_stage::refused;
}

bool safeguards::may_call_once(claim_state claim) const
{
    return claim == claim_state::ours;
}

bool safeguards::takes_new_work(admission_facts const& facts) const
{
    return !facts.leaving && facts.configuration_known;
}

bool safeguards::may_stop(std::size_t requests_in_progress) const
{
    return requests_in_progress == 0;
}

bool safeguards::replaces(config_version in_force, config_version offered) const
{
    return offered > in_force;
}

} // namespace mulberry
