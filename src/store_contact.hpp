/// What a VM knows of outages of the metadata store.
#ifndef MULBERRY_STORE_CONTACT_HPP
#define MULBERRY_STORE_CONTACT_HPP

#include "time_point.hpp"

#include <chrono>

namespace mulberry
{

/// A worker's entry can lapse during a store outage. After the store's return,
/// the worker has this long to write the entry again.
inline constexpr std::chrono::milliseconds lapse_grace{2000};

/// Maximum delay between the starts of attempts to reach a store that does not
/// answer, so that its return is noticed within this time. Failure: a worker's
/// entry is deleted at the moment of the return. For some seconds after the
/// return is noticed, the entry is treated as if it had merely lapsed during
/// the outage, and the worker stays in use that long.
inline constexpr std::chrono::milliseconds max_store_retry_delay{600};

/// Tells outages of the store, in which entries of live workers can lapse, from
/// single queries that fail. Failures that follow a return within lapse_grace
/// belong to the same outage.
///
/// Thread safety: none. Pure: no I/O, no clock.
class store_contact
{
public:
    /// `min_lapse_outage`: the shortest outage in which the entry of a live
    /// worker can lapse.
    explicit store_contact(duration min_lapse_outage = {})
        : min_lapse_outage_(min_lapse_outage)
    {
    }

    /// The store answered this VM or its reader; it was certainly up at
    /// `as_of`. Returns whether an outage ended. Precondition: as_of <= now.
    bool on_answer(time_point as_of, time_point now);
    /// Neither the store nor a reader answered. Returns whether the store
    /// counted as reachable until now.
    bool on_failure(time_point now);

    bool is_lost() const { return lost_; }
    /// When the store last answered again after a failure.
    time_point returned_at() const { return returned_at_; }
    /// The latest time at which the store was certainly up.
    time_point known_at() const { return known_at_; }
    /// From when on a worker whose entry is missing in an answer at `now`
    /// counts as gone; before that, the entry may have lapsed in an outage.
    time_point trusted_at(time_point now) const;

    /// When to send the next query after `failures` consecutive ones, of which
    /// the last was sent at `asked_at`. Precondition: failures > 0.
    static time_point retry_at(int failures, time_point asked_at);

private:
    duration const min_lapse_outage_;
    bool lost_ = false;
    time_point known_at_{};
    /// The latest time before the last outage at which the store was certainly
    /// up.
    time_point outage_after_{};
    time_point returned_at_{};
};

} // namespace mulberry

#endif
