#include "crash_keeper.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// All requests that break off with one worker are told together.
constexpr milliseconds tell_delay{10};
constexpr milliseconds write_retry{500};
constexpr std::chrono::seconds expire_interval{10};
/// Rows that are of no use are dropped by whichever VM comes first.
constexpr std::chrono::seconds drop_spread{60};
constexpr std::chrono::seconds cleared_spread{5};
/// By then a VM that saw a crash itself has written it, and the others know.
constexpr std::chrono::seconds others_write{10};
/// Of one transaction; the store takes a hundred.
constexpr std::size_t most_changes = 50;
/// A second crash may be the same request's doing.
constexpr std::size_t repeated = 2;

} // namespace

void crash_keeper::take(crash_sighting const& seen, time_point now)
{
    if (!record_.add(seen, now))
        return;
    expire_at_ = std::min(expire_at_, now + expire_interval);
    save_if_repeated(seen.request, now);
}

void crash_keeper::on_crash(std::vector<crash_sighting> const& seen,
                            time_point now)
{
    for (crash_sighting const& each : seen)
    {
        own_.insert(each.request);
        outbox_.seen.push_back(each);
        take(each, now);
    }
    if (!outbox_.empty())
        tell_at_ = std::min(tell_at_, now + tell_delay);
}

void crash_keeper::save(crash_key const& key, time_point at)
{
    if (saved_.count(key) > 0)
        return;
    time_point& write_at = unsaved_.try_emplace(key, never).first->second;
    write_at = std::min(write_at, at);
}

void crash_keeper::save_if_repeated(request_digest const& request,
                                    time_point now)
{
    std::vector<crash_sighting> const seen = record_.sightings(request);
    if (seen.size() < repeated)
        return;
    time_point const at =
        own_.count(request) > 0 ? now : now + jitter_.equal_jitter(others_write);
    for (crash_sighting const& each : seen)
        save({request, each.crashed}, at);
}

/// What was to be told or written of the request is out of date.
void crash_keeper::forget(request_digest const& request)
{
    own_.erase(request);
    std::erase_if(outbox_.seen, [&](crash_sighting const& each)
                  { return each.request == request; });
    std::erase_if(unsaved_, [&](auto const& each)
                  { return each.first.request == request; });
}

void crash_keeper::on_answered(request_digest const& request, time_point now)
{
    if (!record_.suspects(request))
        return;
    bool const others_count_it = record_.sightings(request).size() >= repeated;
    record_.clear(request, now);
    forget(request);
    for (auto row = saved_.lower_bound({request, {}});
         row != saved_.end() && row->first.request == request; ++row)
        row->second = now;
    if (!others_count_it)
        return;
    outbox_.answered.push_back(request);
    tell_at_ = std::min(tell_at_, now + tell_delay);
}

void crash_keeper::on_news(crash_news const& news, time_point now)
{
    for (crash_sighting const& each : news.seen)
        take(each, now);
    for (request_digest const& each : news.answered)
    {
        record_.clear(each, now);
        forget(each);
    }
}

void crash_keeper::told(crash_news const& news, bool by_all, time_point now)
{
    if (by_all)
        return;
    for (crash_sighting const& each : news.seen)
        if (record_.suspects(each.request))
            save({each.request, each.crashed}, now);
}

void crash_keeper::on_row(crash_sighting const& seen, time_point now)
{
    crash_key const key{seen.request, seen.crashed};
    unsaved_.erase(key);
    if (saved_.count(key) > 0 || saved_.size() >= limits_.most)
        return;
    take(seen, now);
    expire_at_ = std::min(expire_at_, now + expire_interval);
    bool const counts = record_.suspects(seen.request);
    saved_[key] = counts ? seen.at + limits_.memory + jitter_.equal_jitter(drop_spread)
                         : now + jitter_.equal_jitter(cleared_spread);
}

void crash_keeper::on_row_dropped(crash_key const& key)
{
    if (saved_.erase(key) > 0)
        record_.remove(key.request, key.crashed);
}

void crash_keeper::on_written(bool done, time_point now)
{
    writes_ = false;
    if (!done)
    {
        write_at_ = now + write_retry;
        return;
    }
    for (crash_sighting const& each : writing_.put)
    {
        crash_key const key{each.request, each.crashed};
        unsaved_.erase(key);
        saved_[key] = each.at + limits_.memory + jitter_.equal_jitter(drop_spread);
    }
    for (crash_key const& each : writing_.drop)
        saved_.erase(each);
}

write_crashes crash_keeper::changes(time_point now) const
{
    write_crashes made;
    for (auto const& [key, write_at] : unsaved_)
        if (write_at <= now && made.put.size() < most_changes)
            if (auto const seen = record_.find(key.request, key.crashed))
                made.put.push_back(*seen);
    for (auto const& [key, drop_at] : saved_)
        if (drop_at <= now && made.drop.size() < most_changes)
            made.drop.push_back(key);
    return made;
}

std::vector<crash_action> crash_keeper::run(time_point now)
{
    std::vector<crash_action> actions;
    if (now >= expire_at_)
    {
        record_.expire(now);
        auto const counts = [this](request_digest const& request)
        { return record_.suspects(request); };
        std::erase_if(own_, [&](auto const& each) { return !counts(each); });
        expire_at_ =
            record_.empty() && saved_.empty() ? never : now + expire_interval;
    }
    if (now >= tell_at_)
    {
        tell_at_ = never;
        if (!outbox_.empty())
            actions.push_back(tell_vms{std::exchange(outbox_, {})});
    }
    if (writes_ || now < write_at_)
        return actions;
    std::erase_if(
        unsaved_, [this](auto const& each)
        { return !record_.find(each.first.request, each.first.crashed); });
    writing_ = changes(now);
    writes_ = !writing_.put.empty() || !writing_.drop.empty();
    if (writes_)
        actions.push_back(writing_);
    return actions;
}

time_point crash_keeper::next_due() const
{
    time_point next = std::min(tell_at_, expire_at_);
    if (writes_)
        return next;
    for (auto const& [key, write_at] : unsaved_)
        next = std::min(next, std::max(write_at, write_at_));
    return next;
}

} // namespace mulberry
