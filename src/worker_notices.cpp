#include "worker_notices.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr std::chrono::seconds sweep_interval{10};
/// A worker that announced its departure is gone long before this.
constexpr std::chrono::minutes departure_remembered{10};

} // namespace

bool worker_notices::ask_rest(worker_id const& worker, time_point until,
                              time_point now)
{
    forget_past(now);
    time_point& known = rests_until_[worker];
    bool const news = known <= now;
    known = std::max(known, until);
    return news;
}

time_point worker_notices::rests_until(worker_id const& worker) const
{
    auto const known = rests_until_.find(worker);
    return known == rests_until_.end() ? time_point() : known->second;
}

time_point worker_notices::next_end(time_point after) const
{
    time_point next = never;
    for (auto const& [worker, until] : rests_until_)
        if (until > after)
            next = std::min(next, until);
    return next;
}

void worker_notices::leave(worker_id const& worker, worker_start life,
                           time_point now)
{
    forget_past(now);
    departure& known = leaving_[worker];
    known.life = std::max(known.life, life);
    known.forget_at = now + departure_remembered;
}

bool worker_notices::leaves(worker_id const& worker, worker_start life) const
{
    auto const known = leaving_.find(worker);
    if (known == leaving_.end())
        return false;
    bool const told = life != worker_start();
    return !told || known->second.life == worker_start() ||
           life <= known->second.life;
}

void worker_notices::forget_past(time_point now)
{
    if (now < sweep_at_)
        return;
    sweep_at_ = now + sweep_interval;
    std::erase_if(rests_until_,
                  [now](auto const& each) { return each.second <= now; });
    std::erase_if(leaving_, [now](auto const& each)
                  { return each.second.forget_at <= now; });
}

} // namespace mulberry
