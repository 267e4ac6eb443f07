/// Backoff requests and departure notices that workers sent in their answers to
/// this VM.
#ifndef MULBERRY_WORKER_NOTICES_HPP
#define MULBERRY_WORKER_NOTICES_HPP

#include "backend_entry.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <map>

namespace mulberry
{

/// Stored by worker id, independent of the registry: an entry that lapses and
/// is listed again does not cancel a notice of the worker.
///
/// Thread safety: none. Pure: no I/O, no clock.
class worker_notices
{
public:
    /// Records that the worker wants no requests from this VM before `until`,
    /// also after a restart. A shorter backoff does not end a longer one.
    /// Returns true if the worker was not in backoff before.
    bool request_backoff(worker_id const& worker, time_point until,
                         time_point now);
    /// End of the worker's backoff; in the past, or the epoch, if the worker is
    /// not in backoff.
    time_point backoff_until(worker_id const& worker) const;
    /// The first end of a backoff after `after`; `never` if there is none.
    time_point next_backoff_end(time_point after) const;
    bool in_backoff(worker_id const& worker, time_point now) const
    {
        return now < backoff_until(worker);
    }

    /// Records that the worker is leaving, in the incarnation that began at
    /// `incarnation`; the epoch if that is unknown.
    void record_departure(worker_id const& worker, worker_start incarnation,
                          time_point now);
    /// Whether the worker announced in `incarnation`, or in a later one, that
    /// it is leaving. An unknown incarnation on either side counts as the same.
    bool is_leaving(worker_id const& worker, worker_start incarnation) const;

    /// Forgets backoffs that are over, and departures after ten minutes.
    void forget_past(time_point now);

private:
    struct departure
    {
        worker_start incarnation;
        time_point forget_at{};
    };

    std::map<worker_id, time_point> backoff_until_;
    std::map<worker_id, departure> leaving_;
    time_point next_sweep_at_{};
};

} // namespace mulberry

#endif
