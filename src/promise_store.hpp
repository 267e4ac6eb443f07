/// Promises between VMs: those that this VM gave, and those that it collects.
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

/// The two exclusive promises that this VM gives. Thread safety: none.
class given_promises
{
public:
    /// Takes the promises of the former life over, whatever they were.
    given_promises(promise_rules const& rules, duration promise);
    void start(time_point now);
    /// There was no former life.
    void set_first_incarnation();

    /// What this VM knows of the table and of the configuration.
    struct observed_state
    {
        bool table_reachable = false;
        bool table_unreachable = false;
        /// The highest version that this VM has seen or heard of.
        config_version highest;
    };
    /// Whether to help a VM go on with that version. Records the promise before
    /// it returns true.
    bool promise_outage(observed_state const& own, config_version with,
                        time_point now);
    /// Whether to help a confirm on that version. Records it likewise.
    bool promise_confirm(observed_state const& own, config_version base,
                         time_point now);
    /// A read that does not lag, asked at that time, was answered.
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
    /// life helped; none when a later read has settled it.
    config_version possibly_replaced_;
    /// When the promises of the former life ended, at the latest.
    time_point previous_promises_until_{};
    /// Any version may have been replaced by a confirm that the former life
    /// helped, and no later read has settled it.
    bool any_possibly_replaced_ = false;
};

/// Promises of one kind that this VM was given. Thread safety: none.
class collected_promises
{
public:
    explicit collected_promises(promise_rules const& rules);

    /// A question with that number goes out now.
    void record_question(std::uint64_t number, time_point now);
    /// This VM's own promise, given when it asked.
    void add_own(vm_id const& self, time_point until);
    /// An answer to a question of this store; late and repeated ones count
    /// from the moment their own question was asked. Returns false for
    /// another's answer.
    bool add(vm_id const& from, std::uint64_t number, duration holds_for,
             time_point now);
    void clear();

    /// When that member's promise ends; the epoch when it gave none.
    time_point until(vm_id const& member) const;

    std::size_t count_valid(std::vector<vm_id> const& members,
                            time_point now) const;
    /// When the last majority of the members ends; the epoch without one.
    time_point majority_until(std::vector<vm_id> const& members) const;

private:
    promise_rules const& rules_;
    std::map<std::uint64_t, time_point> asked_at_;
    std::map<vm_id, time_point> until_;
};

} // namespace mulberry

#endif
