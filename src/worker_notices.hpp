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
    /// also after a restart. A shorter rest does not end a longer one. Returns
    /// true if the worker was not resting before.
    bool request_backoff(worker_id const& worker, time_point until, time_point now);
    /// End of the worker's rest; in the past, or the epoch, if it is not
    /// resting.
    time_point backoff_until(worker_id const& worker) const;
    /// The first end of a rest after `after`; `never` if there is none.
    time_point next_backoff_end(time_point after) const;
    bool in_backoff(worker_id const& worker, time_point now) const
    {
        return now < backoff_until(worker);
    }

    /// Records that the worker is leaving, in the process life that began at
    /// `life`; the epoch if that is unknown.
    void record_departure(worker_id const& worker, worker_start incarnation, time_point now);
    /// Whether the worker announced in process life `life`, or in a later one,
    /// that it is leaving. A life that is unknown on either side counts as the
    /// same.
    bool is_leaving(worker_id const& worker, worker_start incarnation) const;

    /// Forgets rests that are over, and departures after ten minutes.
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
