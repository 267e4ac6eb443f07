/// The rules on which "a confirmed configuration never reverts" rests, behind
/// one interface, so that a test can leave out one and see the violation.
#ifndef MULBERRY_PROMISE_RULES_HPP
#define MULBERRY_PROMISE_RULES_HPP

#include "time_point.hpp"

#include <cstddef>

namespace mulberry
{

/// What a VM that is asked for a promise knows of itself.
struct promise_conditions
{
    /// The table answered a question that was asked a short while ago.
    bool table_reachable = false;
    /// The table left a question unanswered, and none since.
    bool table_unreachable = false;
    bool outage_promise_running = false;
    bool confirm_promise_running = false;
    /// No higher version was seen or heard of, and a read that was asked after
    /// the last confirm promise ended would have shown one.
    bool version_certain = false;
};

/// Thread safety: stateless; const calls from any thread.
class promise_rules
{
public:
    virtual ~promise_rules() = default;

    /// Whether to promise not to help a confirm. A promise of each kind at
    /// once would let one half confirm while the other goes on with the old.
    /// A VM that helped a confirm and has not read since may not vote for the
    /// old version either: the confirm may have succeeded.
    virtual bool may_promise_outage(promise_conditions const& conditions) const;

    /// Whether to promise not to support going on without the table.
    virtual bool
    may_promise_confirm(promise_conditions const& conditions) const;

    /// Two sets of promises must share a giver.
    virtual bool is_majority(std::size_t promises, std::size_t members) const;

    /// From when on the response writer counts an answer's time. The giver's
    /// own record starts when it answers, which is later, so it outlives the
    /// belief.
    virtual time_point valid_from(time_point asked, time_point answered) const;

    /// Until when a new life keeps to what its former one may have promised:
    /// a restarted VM has forgotten its promises, but they still hold.
    virtual time_point previous_promises_end(time_point started,
                                             duration promise) const;

    /// Whether the row may be read by a read that lags. A restarted VM would
    /// then serve a version from before its restart.
    virtual bool allows_stale_reads() const;

    /// Whether a write seen at `now` may be told as confirmed on promises that
    /// end then. A write that landed later is not covered by them: a majority
    /// may already have agreed to go on with the version before.
    virtual bool promises_cover(time_point now, time_point end) const;

    /// Whether a write whose answer was lost, and which a read does not show,
    /// may land yet. Taken for void, it would take effect after its operator
    /// was told that nothing was changed.
    virtual bool may_apply_later() const;
};

/// All rules kept.
promise_rules const& default_promise_rules();

} // namespace mulberry

#endif
