#include "promise_store.hpp"

#include <algorithm>
#include <functional>

namespace mulberry
{
namespace
{

/// Answers to older questions are ignored; their promises have expired.
constexpr std::size_t max_recorded_questions = 64;

} // namespace

given_promises::given_promises(promise_rules const& rules, duration promise)
    : rules_(rules), promise_duration_(promise)
{
}

void given_promises::start(time_point now)
{
    time_point const end =
        rules_.previous_promises_end(now, recorded_promise_end(now) - now);
    outage_promise_until_ = end;
    confirm_promise_until_ = end;
    previous_promises_until_ = end;
    any_possibly_replaced_ = end > now;
}

// Without this, a VM that loses the table after a peer's confirm and before it
// reads the row again would stop at the staleness bound and serve none of its
// workers, although it has the newest version and its peers continue. Only a
// previous incarnation could have supported a confirm unknown to this one.
void given_promises::set_first_incarnation()
{
    any_possibly_replaced_ = false;
}

bool given_promises::promise_outage(observed_state const& own,
                                    config_version with, time_point now)
{
    if (!rules_.may_promise_outage(conditions_for(own, with, now)))
        return false;
    outage_promise_until_ =
        std::max(outage_promise_until_, recorded_promise_end(now));
    return true;
}

bool given_promises::promise_confirm(observed_state const& own,
                                     config_version base, time_point now)
{
    if (!rules_.may_promise_confirm(conditions_for(own, base, now)))
        return false;
    confirm_promise_until_ =
        std::max(confirm_promise_until_, recorded_promise_end(now));
    // Before the first confirm `base` is none, and no VM continues without a
    // version. Marking version 1 as possibly replaced as well would stop every
    // VM if the table were lost right after the first confirm.
    possibly_replaced_ = std::max(possibly_replaced_, base);
    return true;
}

// The two flags are cleared separately, each by a read sent after its own
// promises ended: a write that takes effect later relies on later promises,
// which this incarnation gave and has recorded. A single flag would not be
// cleared before the later promise ends: if a VM supported a confirm after the
// promises of its previous incarnation had ended and before its next read, and
// the table were then lost, the VMs would stop at the staleness bound although
// the new version is in force on all of them.
void given_promises::read_answered(time_point asked_at)
{
    if (asked_at >= previous_promises_until_)
        any_possibly_replaced_ = false;
    if (asked_at >= confirm_promise_until_)
        possibly_replaced_ = config_version();
}

promise_conditions given_promises::conditions_for(observed_state const& own,
                                                  config_version with,
                                                  time_point now) const
{
    promise_conditions result;
    result.table_reachable = own.table_reachable;
    result.table_unreachable = own.table_unreachable;
    result.outage_promise_running = now < outage_promise_until_;
    result.confirm_promise_running = now < confirm_promise_until_;
    result.version_certain = !with.none() && with >= own.highest &&
                             with > possibly_replaced_ &&
                             !any_possibly_replaced_;
    return result;
}

time_point given_promises::recorded_promise_end(time_point now) const
{
    // The clocks of two VMs run at slightly different rates. With this margin
    // the recorded promise outlasts the period in which the other VM relies on
    // it, even with no network delay.
    return now + promise_duration_ + promise_duration_ / 16;
}

collected_promises::collected_promises(promise_rules const& rules)
    : rules_(rules)
{
}

void collected_promises::record_question(std::uint64_t number, time_point now)
{
    asked_at_[number] = now;
    if (asked_at_.size() > max_recorded_questions)
        asked_at_.erase(asked_at_.begin());
}

void collected_promises::add_own(vm_id const& self, time_point until)
{
    time_point& known = until_[self];
    known = std::max(known, until);
}

bool collected_promises::add(vm_id const& from, std::uint64_t number,
                             duration holds_for, time_point now)
{
    auto const question = asked_at_.find(number);
    if (question == asked_at_.end())
        return false;
    add_own(from, rules_.valid_from(question->second, now) + holds_for);
    return true;
}

time_point collected_promises::until(vm_id const& member) const
{
    auto const found = until_.find(member);
    return found == until_.end() ? time_point() : found->second;
}

void collected_promises::clear()
{
    asked_at_.clear();
    until_.clear();
}

std::size_t collected_promises::count_valid(std::vector<vm_id> const& members,
                                            time_point now) const
{
    auto const holds = [&](vm_id const& member) { return now < until(member); };
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), holds));
}

time_point
collected_promises::majority_until(std::vector<vm_id> const& members) const
{
    std::vector<time_point> ends;
    ends.reserve(members.size());
    for (vm_id const& member : members)
        ends.push_back(until(member));
    std::sort(ends.begin(), ends.end(), std::greater<>());
    for (std::size_t count = 1; count <= ends.size(); ++count)
        if (rules_.is_majority(count, members.size()))
            return ends[count - 1];
    return time_point();
}

} // namespace mulberry
