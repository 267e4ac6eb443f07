/// Promises between VMs: those that this VM gave to others, and those that it
/// collected from them.
#ifndef MULBERRY_PROMISE_STORE_HPP
#define MULBERRY_PROMISE_STORE_HPP

#include "ids.hpp"
#include "promise_rules.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace mulberry
{

/// The two mutually exclusive kinds of promise that this VM gives.
///
/// Thread safety: none.
class given_promises
{
public:
    /// Until set_first_incarnation() is called, a previous incarnation is
    /// assumed to have given promises of both kinds. `promise` is how long a
    /// promise holds.
    given_promises(promise_rules const& rules, duration promise);
    /// To be called once, when this incarnation starts.
    void start(time_point now);
    /// States that this VM has no previous incarnation.
    void set_first_incarnation();

    /// State of the table and of the configuration as this VM knows it.
    struct observed_state
    {
        bool table_reachable = false;
        bool table_unreachable = false;
        /// The highest version that this VM read or that a peer reported.
        config_version highest;
    };
    /// Whether this VM promises to support continuing with version `with`
    /// without the table. The promise is recorded before true is returned.
    bool promise_outage(observed_state const& own, config_version with,
                        time_point now);
    /// Whether this VM promises to support a confirm based on version `base`.
    /// The promise is recorded before true is returned.
    bool promise_confirm(observed_state const& own, config_version base,
                         time_point now);
    /// A linearizable read of the row that was sent at `asked_at` was answered.
    void read_answered(time_point asked_at);

private:
    promise_conditions conditions_for(observed_state const& own,
                                      config_version with,
                                      time_point now) const;
    time_point recorded_promise_end(time_point now) const;

    promise_rules const& rules_;
    duration promise_duration_;
    time_point outage_promise_until_{};
    time_point confirm_promise_until_{};
    /// Versions up to this one may have been replaced by a confirm that this
    /// incarnation supported. None after a later read has shown the current
    /// version.
    config_version possibly_replaced_;
    /// When the promises of the previous incarnation end at the latest.
    time_point previous_promises_until_{};
    /// Any version may have been replaced by a confirm that the previous
    /// incarnation supported, and no later read has shown the current version.
    bool any_possibly_replaced_ = false;
};

/// Promises of one kind that other VMs gave to this VM.
///
/// Thread safety: none.
class collected_promises
{
public:
    explicit collected_promises(promise_rules const& rules);

    /// Records that the question with this number is sent now.
    void record_question(std::uint64_t number, time_point now);
    /// Adds this VM's own promise, given when the question was sent.
    void add_own(vm_id const& self, time_point until);
    /// Adds the promise in an answer. Late and repeated answers count from the
    /// time at which their own question was sent. Returns false when the number
    /// is not one of this object's recorded questions.
    bool add(vm_id const& from, std::uint64_t number, duration holds_for,
             time_point now);
    /// Removes all questions and promises.
    void clear();

    /// When the member's promise ends; the epoch when it gave none.
    time_point until(vm_id const& member) const;

    /// How many of the members' promises hold at `now`.
    std::size_t count_valid(std::vector<vm_id> const& members,
                            time_point now) const;
    /// Until when promises of a majority of the members hold; the epoch when
    /// there is no majority.
    time_point majority_until(std::vector<vm_id> const& members) const;

private:
    promise_rules const& rules_;
    std::map<std::uint64_t, time_point> asked_at_;
    std::map<vm_id, time_point> until_;
};

} // namespace mulberry

#endif
