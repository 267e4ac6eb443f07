/// What workers said of themselves in their answers to this VM.
#ifndef MULBERRY_WORKER_NOTICES_HPP
#define MULBERRY_WORKER_NOTICES_HPP

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
    /// The worker wants no requests from this VM until then. Whether it had
    /// not asked for that before, as of now.
    bool ask_rest(worker_id const& worker, time_point until, time_point now);
    /// In the past, or the epoch, where it wants none.
    time_point rests_until(worker_id const& worker) const;
    /// The first end of a rest after that moment; `never` if there is none.
    time_point next_end(time_point after) const;
    bool rests(worker_id const& worker, time_point now) const
    {
        return now < rests_until(worker);
    }

private:
    void forget_past(time_point now);

    std::map<worker_id, time_point> rests_until_;
    time_point sweep_at_{};
};

} // namespace mulberry

#endif
