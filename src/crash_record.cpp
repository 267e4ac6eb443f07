#include "crash_record.hpp"

#include "relay_request.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace mulberry
{
namespace
{

/// Crashes within this time may have a common cause. When a worker or a whole
/// failure domain goes down, all VMs see its connections close within
/// milliseconds of each other.
constexpr std::chrono::milliseconds common_cause_window{200};
/// Accuracy of times reported by other VMs.
constexpr std::chrono::milliseconds clock_tolerance{20};
/// Per request, at most this many times the quarantine threshold of crashes are
/// kept, first of all those that count.
constexpr std::size_t kept_threshold_multiple = 8;

/// This part of the entries is evicted at a time, since each eviction ranks all
/// of them.
constexpr std::size_t eviction_divisor = 8;

std::size_t evicted_at_once(std::size_t entries)
{
    return entries / eviction_divisor + 1;
}

} // namespace

bool crash_record::add(crash_observation const& seen, time_point now)
{
    if (seen.at + retention_of(seen.request) <= now)
        return false;
    make_room(seen, now);
    suspect& known = suspects_[seen.request];
    if (seen.at <= known.cleared_at)
        return false;
    auto const [crash, first] = crashes_.emplace(seen.crashed, seen.at);
    if (!first)
        crash->second = std::min(crash->second, seen.at);
    auto const [observed, is_new] =
        known.crashes.emplace(seen.crashed, seen.sent_at);
    observed->second = std::max(observed->second, seen.sent_at);
    if (known.crashes.size() > limits_.crashes * kept_threshold_multiple)
        drop_crash(seen.request, known, now);
    return is_new;
}

/// Failure: many callers send a poison request at a time, and the crashes that
/// they cause count once. If these displaced the earlier ones that count, the
/// request would never be quarantined.
void crash_record::drop_crash(request_digest const& request, suspect& of,
                              time_point now)
{
    std::set<worker_incarnation> counted;
    for (crash const& each : counted_crashes(request, of, now))
        counted.insert(each.crashed);
    auto const rank = [&](auto const& each)
    { return std::pair(counted.count(each.first), crashes_.at(each.first)); };
    of.crashes.erase(std::min_element(of.crashes.begin(), of.crashes.end(),
                                      [&rank](auto const& a, auto const& b)
                                      { return rank(a) < rank(b); }));
}

bool crash_record::clear(request_digest const& request, time_point at)
{
    auto const known = suspects_.find(request);
    if (known == suspects_.end())
        return false;
    known->second.cleared_at = std::max(known->second.cleared_at, at);
    bool const removed =
        std::erase_if(known->second.crashes, [&](auto const& each)
                      { return crashes_.at(each.first) <= at; }) > 0;
    known->second.confirmed &= !known->second.crashes.empty();
    return removed;
}

void crash_record::note_answer(request_digest const& part, time_point at)
{
    suspects_[part];
    clear(part, at);
}

bool crash_record::should_confirm(request_digest const& part,
                                  time_point now) const
{
    auto const known = suspects_.find(part);
    return known != suspects_.end() &&
           counted_crashes(part, known->second, now).size() >=
               threshold(part, known->second, now);
}

void crash_record::confirm(request_digest const& part)
{
    if (is_suspect(part))
        suspects_.at(part).confirmed = true;
}

bool crash_record::is_confirmed(request_digest const& part) const
{
    auto const known = suspects_.find(part);
    return known != suspects_.end() && known->second.confirmed;
}

duration crash_record::retention_of(request_digest const& request) const
{
    return is_part(request) ? limits_.part_retention : limits_.retention;
}

std::size_t crash_record::threshold(request_digest const& request,
                                    suspect const& of, time_point now) const
{
    bool const answered_lately =
        is_part(request) && !of.confirmed &&
        of.cleared_at != time_point::min() &&
        now < of.cleared_at + limits_.answered_part_memory;
    return answered_lately
               ? std::max(limits_.answered_part_crashes, limits_.crashes)
               : limits_.crashes;
}

void crash_record::remove(request_digest const& request,
                          worker_incarnation const& crashed)
{
    if (auto const known = suspects_.find(request); known != suspects_.end())
        known->second.crashes.erase(crashed);
}

void crash_record::expire(time_point now)
{
    std::erase_if(crashes_, [&](auto const& each)
                  { return each.second + limits_.retention <= now; });
    drop_unknown_crashes();
    std::erase_if(suspects_,
                  [&](auto const& each)
                  {
                      return each.second.crashes.empty() &&
                             (each.second.cleared_at == time_point::min() ||
                              each.second.cleared_at + limits_.retention <=
                                  now);
                  });
}

void crash_record::drop_unknown_crashes()
{
    for (auto& [request, suspect] : suspects_)
        std::erase_if(suspect.crashes, [&](auto const& each)
                      { return crashes_.count(each.first) == 0; });
}

/// Bounds the memory used when workers crash continually under ever new
/// requests.
void crash_record::make_room(crash_observation const& seen, time_point now)
{
    auto const lacks_request_room = [&]
    {
        return suspects_.size() >= limits_.max_entries &&
               suspects_.count(seen.request) == 0;
    };
    auto const lacks_crash_room = [&]
    {
        return crashes_.size() >= limits_.max_entries &&
               crashes_.count(seen.crashed) == 0;
    };
    if (!lacks_request_room() && !lacks_crash_room())
        return;
    expire(now);
    if (lacks_request_room())
        evict_requests(now);
    if (lacks_crash_room())
        evict_crashes(seen.request, now);
}

/// Requests with the fewest crashes that count are evicted first, and among
/// these the one whose last crash is oldest.
void crash_record::evict_requests(time_point now)
{
    using rank = std::tuple<bool, std::size_t, time_point>;
    std::vector<std::pair<rank, request_digest>> by_rank;
    for (auto const& [request, suspect] : suspects_)
    {
        time_point newest = suspect.cleared_at;
        for (auto const& [crashed_worker, sent_at] : suspect.crashes)
            newest = std::max(newest, crashes_.at(crashed_worker));
        by_rank.push_back(
            {rank(suspect.confirmed,
                  counted_crashes(request, suspect, now).size(), newest),
             request});
    }
    std::size_t const count = evicted_at_once(by_rank.size());
    std::partial_sort(by_rank.begin(), by_rank.begin() + std::ptrdiff_t(count),
                      by_rank.end());
    for (std::size_t each = 0; each < count; ++each)
        suspects_.erase(by_rank[each].second);
}

/// Failure: many workers crash, such as at the loss of a region, and the
/// crashes under a quarantined request are the oldest. A crash is as important
/// as the most important request that it counts against; `crashed_again` is
/// about to have one more.
void crash_record::evict_crashes(request_digest const& crashed_again,
                                 time_point now)
{
    using importance = std::pair<bool, std::size_t>;
    std::map<worker_incarnation, importance> importances;
    for (auto const& [request, suspect] : suspects_)
    {
        std::vector<crash> const counted =
            counted_crashes(request, suspect, now);
        importance const own(suspect.confirmed,
                             counted.size() +
                                 (request == crashed_again ? 1 : 0));
        for (crash const& each : counted)
        {
            importance& known = importances[each.crashed];
            known = std::max(known, own);
        }
    }
    using rank = std::pair<importance, time_point>;
    std::vector<std::pair<rank, worker_incarnation>> by_rank;
    for (auto const& [crashed_worker, at] : crashes_)
        by_rank.push_back(
            {rank(importances[crashed_worker], at), crashed_worker});
    std::size_t const count = evicted_at_once(by_rank.size());
    std::partial_sort(by_rank.begin(), by_rank.begin() + std::ptrdiff_t(count),
                      by_rank.end());
    for (std::size_t each = 0; each < count; ++each)
        crashes_.erase(by_rank[each].second);
    drop_unknown_crashes();
}

bool crash_record::is_suspect(request_digest const& request) const
{
    auto const known = suspects_.find(request);
    return known != suspects_.end() && !known->second.crashes.empty();
}

bool crash_record::was_cleared(request_digest const& request) const
{
    auto const known = suspects_.find(request);
    return known != suspects_.end() &&
           known->second.cleared_at != time_point::min();
}

std::vector<crash_record::crash>
crash_record::counted_crashes(request_digest const& request, suspect const& of,
                              time_point now) const
{
    std::vector<crash> all;
    for (auto const& [crashed_worker, sent_at] : of.crashes)
        if (time_point const at = crashes_.at(crashed_worker);
            at + retention_of(request) > now)
            all.push_back({crashed_worker, at, sent_at});
    std::sort(all.begin(), all.end(),
              [](crash const& a, crash const& b) { return a.at < b.at; });
    std::vector<crash> counted;
    for (crash const& each : all)
    {
        bool const counts_separately = std::all_of(
            counted.begin(), counted.end(),
            [&each](crash const& before)
            {
                bool const outlived =
                    each.at > before.at + clock_tolerance &&
                    each.sent_at + clock_tolerance >= before.at;
                return outlived || each.at > before.at + common_cause_window;
            });
        if (counts_separately)
            counted.push_back(each);
    }
    return counted;
}

std::size_t crash_record::crashes(request_digest const& request,
                                  time_point now) const
{
    auto const known = suspects_.find(request);
    return known == suspects_.end()
               ? 0
               : counted_crashes(request, known->second, now).size();
}

std::optional<time_point>
crash_record::quarantined_until(request_digest const& request,
                                time_point now) const
{
    auto const known = suspects_.find(request);
    if (known == suspects_.end() ||
        (is_part(request) && !known->second.confirmed))
        return std::nullopt;
    std::vector<crash> const counted =
        counted_crashes(request, known->second, now);
    if (counted.size() < limits_.crashes)
        return std::nullopt;
    return counted[counted.size() - limits_.crashes].at + retention_of(request);
}

std::optional<crash_observation>
crash_record::find(request_digest const& request,
                   worker_incarnation const& crashed) const
{
    auto const known = suspects_.find(request);
    if (known == suspects_.end())
        return std::nullopt;
    auto const sent = known->second.crashes.find(crashed);
    if (sent == known->second.crashes.end())
        return std::nullopt;
    return crash_observation{request, crashed, sent->second,
                             crashes_.at(crashed)};
}

std::vector<crash_observation>
crash_record::observations(request_digest const& request) const
{
    std::vector<crash_observation> seen;
    auto const known = suspects_.find(request);
    if (known == suspects_.end())
        return seen;
    for (auto const& [crashed_worker, sent_at] : known->second.crashes)
        seen.push_back(
            {request, crashed_worker, sent_at, crashes_.at(crashed_worker)});
    std::sort(seen.begin(), seen.end(),
              [](crash_observation const& a, crash_observation const& b)
              { return a.at < b.at; });
    return seen;
}

std::size_t crash_record::suspect_count() const
{
    return static_cast<std::size_t>(std::count_if(
        suspects_.begin(), suspects_.end(),
        [](auto const& each) { return !each.second.crashes.empty(); }));
}

std::size_t crash_record::quarantined_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        suspects_.begin(), suspects_.end(),
        [&](auto const& each)
        { return quarantined_until(each.first, now).has_value(); }));
}

} // namespace mulberry
