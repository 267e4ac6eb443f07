/// The rules that guarantee that a confirmed configuration is never reverted.
/// Each is a virtual function, so that a test can disable one rule and check
/// that the violation is detected.
#ifndef MULBERRY_PROMISE_RULES_HPP
#define MULBERRY_PROMISE_RULES_HPP

#include "time_point.hpp"

#include <cstddef>

namespace mulberry
{

/// State of a VM that is asked for a promise, as far as the rules need it.
struct promise_conditions
{
    /// The table answered a call that was sent recently.
    bool table_reachable = false;
    /// The table left calls unanswered, and has answered none since.
    bool table_unreachable = false;
    bool outage_promise_running = false;
    bool confirm_promise_running = false;
    /// No higher version was read or reported by a peer, and a read sent after
    /// the last confirm promise ended would have shown one.
    bool version_certain = false;
};

/// Thread safety: stateless; const calls from any thread.
class promise_rules
{
public:
    virtual ~promise_rules() = default;

    /// Whether this VM may promise not to support a confirm (outage promise).
    /// If a VM could give both kinds of promise at the same time, one majority
    /// could confirm a new version while another continues with the old one.
    /// A VM that supported a confirm and has not read the row since may not
    /// vote for the old version either: the confirm may have succeeded.
    virtual bool may_promise_outage(promise_conditions const& conditions) const;

    /// Whether this VM may promise not to support continuing without the table
    /// (confirm promise).
    virtual bool
    may_promise_confirm(promise_conditions const& conditions) const;

    /// Whether `promises` of `members` are a majority. Any two majorities must
    /// have a member in common.
    virtual bool is_majority(std::size_t promises, std::size_t members) const;

    /// The time from which the VM that sent a question counts the validity of
    /// the answer. The VM that gave the promise counts from its own, later,
    /// time of answering, so that it keeps the promise for longer than the
    /// other VM relies on it.
    virtual time_point valid_from(time_point sent_at,
                                  time_point answered_at) const;

    /// Until when a restarted VM must assume that promises of its previous
    /// incarnation hold: they are not persisted, but other VMs rely on them.
    virtual time_point previous_promises_end(time_point started,
                                             duration promise) const;

    /// Whether the configuration row may be read by stale reads. A restarted
    /// VM could then serve a version older than the one before its restart.
    virtual bool allows_stale_reads() const;

    /// Whether a write seen at `now` may be reported as confirmed, given
    /// promises that hold until `end`. They do not cover a write that took
    /// effect later: a majority may already have agreed to continue with the
    /// previous version.
    virtual bool promises_cover(time_point now, time_point end) const;

    /// Whether a write whose answer was lost, and which a read does not show,
    /// may still take effect. If it were assumed to have failed, it could take
    /// effect after the operator was told that nothing was changed.
    virtual bool may_apply_later() const;
};

/// The rules with none disabled.
promise_rules const& default_promise_rules();

} // namespace mulberry

#endif
