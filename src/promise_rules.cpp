#include "promise_rules.hpp"

namespace mulberry
{

bool promise_rules::may_promise_outage(giver_state const& giver) const
{
    return giver.table_lost && giver.version_certain &&
           !giver.confirm_promise_running;
}

bool promise_rules::may_promise_confirm(giver_state const& giver) const
{
    return giver.table_heard && !giver.outage_promise_running;
}

bool promise_rules::is_majority(std::size_t promises, std::size_t members) const
{
    return promises > members / 2;
}

time_point promise_rules::counts_from(time_point asked,
                                      time_point /*answered*/) const
{
    return asked;
}

time_point promise_rules::former_promises_end(time_point started,
                                              duration promise) const
{
    return started + promise;
}

bool promise_rules::reads_may_lag() const
{
    return false;
}

bool promise_rules::promises_cover(time_point now, time_point end) const
{
    return now < end;
}

bool promise_rules::may_land_yet() const
{
    return true;
}

promise_rules const& default_promise_rules()
{
    static promise_rules const rules;
    return rules;
}

} // namespace mulberry
