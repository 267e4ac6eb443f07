#include "promise_rules.hpp"

namespace mulberry
{

bool promise_rules::may_promise_outage(
    promise_conditions const& conditions) const
{
    return conditions.table_unreachable && conditions.version_certain &&
           !conditions.confirm_promise_running;
}

bool promise_rules::may_promise_confirm(
    promise_conditions const& conditions) const
{
    return conditions.table_reachable && !conditions.outage_promise_running;
}

bool promise_rules::is_majority(std::size_t promises, std::size_t members) const
{
    return promises > members / 2;
}

time_point promise_rules::valid_from(time_point sent_at,
                                     time_point /*answered_at*/) const
{
    return sent_at;
}

time_point promise_rules::previous_promises_end(time_point started,
                                                duration promise) const
{
    return started + promise;
}

bool promise_rules::allows_stale_reads() const
{
    return false;
}

bool promise_rules::promises_cover(time_point now, time_point end) const
{
    return now < end;
}

bool promise_rules::may_apply_later() const
{
    return true;
}

promise_rules const& default_promise_rules()
{
    static promise_rules const rules;
    return rules;
}

} // namespace mulberry
