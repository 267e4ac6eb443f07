#include "worker_notices.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr std::chrono::seconds sweep_interval{10};
/// A worker that announced its departure is gone long before this.
constexpr std::chrono::minutes departure_lifetime{10};

} // namespace

bool worker_notices::request_backoff(worker_id const& worker, time_point until,
                                     time_point now)
{
    forget_past(now);
    time_point& known = backoff_until_[worker];
    bool const was_inactive = known <= now;
    known = std::max(known, until);
    return was_inactive;
}

void worker_notices::record_limit_reached(worker_id const& worker,
                                          time_point until, time_point retry_at,
                                          time_point now)
{
    forget_past(now);
    full_limits_[worker] = {until, std::max(until, retry_at)};
}

void worker_notices::clear_limit_reached(worker_id const& worker)
{
    full_limits_.erase(worker);
}

worker_pause worker_notices::pause_of(worker_id const& worker) const
{
    worker_pause pause;
    if (auto const known = backoff_until_.find(worker);
        known != backoff_until_.end())
        pause = {known->second, known->second, false};
    if (auto const full = full_limits_.find(worker);
        full != full_limits_.end() && full->second.until > pause.until)
        pause = {full->second.until, full->second.retry_at, true};
    return pause;
}

time_point worker_notices::next_pause_end(time_point after) const
{
    time_point next = never;
    for (auto const& [worker, until] : backoff_until_)
        if (until > after)
            next = std::min(next, until);
    for (auto const& [worker, full] : full_limits_)
        if (full.until > after)
            next = std::min(next, full.until);
    return next;
}

void worker_notices::record_departure(worker_id const& worker,
                                      worker_start incarnation, time_point now)
{
    forget_past(now);
    departure& known = leaving_[worker];
    known.incarnation = std::max(known.incarnation, incarnation);
    known.forget_at = now + departure_lifetime;
}

bool worker_notices::is_leaving(worker_id const& worker,
                                worker_start incarnation) const
{
    auto const known = leaving_.find(worker);
    if (known == leaving_.end())
        return false;
    bool const is_known = incarnation != worker_start();
    return !is_known || known->second.incarnation == worker_start() ||
           incarnation <= known->second.incarnation;
}

void worker_notices::forget_past(time_point now)
{
    if (now < next_sweep_at_)
        return;
    next_sweep_at_ = now + sweep_interval;
    std::erase_if(backoff_until_,
                  [now](auto const& each) { return each.second <= now; });
    std::erase_if(full_limits_,
                  [now](auto const& each) { return each.second.until <= now; });
    std::erase_if(leaving_, [now](auto const& each)
                  { return each.second.forget_at <= now; });
}

} // namespace mulberry
