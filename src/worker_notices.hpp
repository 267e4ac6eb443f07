/// What workers said of themselves in their answers to this VM.
#ifndef MULBERRY_WORKER_NOTICES_HPP
#define MULBERRY_WORKER_NOTICES_HPP

#include "backend_entry.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <map>

namespace mulberry
{

/// Kept for each worker's id, whatever the registry lists meanwhile: an entry
/// that lapses and comes back takes nothing back that the worker said. Thread
/// safety: none. Pure: no I/O, no clock.
class worker_notices
{
public:
    /// The worker wants no requests from this VM until then, in whatever life.
    /// True if it was not resting before.
    bool ask_rest(worker_id const& worker, time_point until, time_point now);
    /// In the past, or the epoch, where it wants none.
    time_point rests_until(worker_id const& worker) const;
    /// The first end of a rest after that moment; `never` if there is none.
    time_point next_end(time_point after) const;
    bool rests(worker_id const& worker, time_point now) const
    {
        return now < rests_until(worker);
    }

    /// The worker leaves, in the life that began then; the epoch where that is
    /// not known.
    void leave(worker_id const& worker, worker_start life, time_point now);
    /// Whether that life of the worker said that it leaves.
    bool leaves(worker_id const& worker, worker_start life) const;

    /// Forgets rests that are over and departures of long ago.
    void forget_past(time_point now);

private:
    struct departure
    {
        worker_start life;
        time_point forget_at{};
    };

    std::map<worker_id, time_point> rests_until_;
    std::map<worker_id, departure> leaving_;
    time_point sweep_at_{};
};

} // namespace mulberry

#endif
