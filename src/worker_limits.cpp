#include "worker_limits.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

/// A lower limit counts as this one: without any request no answer could end
/// the limit.
constexpr double min_per_second = 0.1;
/// Requests that VMs together may send at once in addition to the rate. A pool
/// has half of it, and loses what comes in while it is full: with less than
/// two requests a limit of a few a second is not used up.
constexpr double burst = 3;
constexpr std::chrono::minutes limit_lifetime{10};
/// Other VMs have heard of the end by then, so that no notice of theirs brings
/// the limit back.
constexpr std::chrono::seconds ended_lifetime{10};
/// A notice of another VM appears newer than it is by its time in transit.
constexpr std::chrono::milliseconds max_transit{300};

duration lifetime_of(worker_limit_notice const& notice)
{
    return notice.per_second ? duration(limit_lifetime)
                             : duration(ended_lifetime);
}

bool is_lower(std::optional<double> const& left,
              std::optional<double> const& right)
{
    return left && (!right || *left < *right);
}

} // namespace

allotment_id allotment_key(worker_id const& worker)
{
    return allotment_id(worker.str());
}

bool worker_limits::on_answer(worker_id const& worker,
                              std::optional<double> per_second,
                              time_point sent_at, time_point now)
{
    if (per_second)
        per_second = std::max(*per_second, min_per_second);
    auto const known = notices_.find(worker);
    if (known == notices_.end())
        return per_second && apply({worker, per_second, now});
    if (!per_second && !known->second.per_second)
        return false;
    bool const loosens = is_lower(known->second.per_second, per_second);
    if (loosens && sent_at <= known->second.heard_at)
        return false;
    return apply({worker, per_second, now});
}

bool worker_limits::on_notice(worker_limit_notice const& notice, time_point now)
{
    if (notice.heard_at + lifetime_of(notice) <= now)
        return false;
    auto const known = notices_.find(notice.worker);
    if (known == notices_.end())
        return notice.per_second && apply(notice);
    bool const loosens = is_lower(known->second.per_second, notice.per_second);
    duration const margin = loosens ? duration(max_transit) : duration(0);
    if (notice.heard_at <= known->second.heard_at + margin)
        return false;
    return apply(notice);
}

bool worker_limits::apply(worker_limit_notice notice)
{
    auto const [known, added] = notices_.try_emplace(notice.worker, notice);
    if (added)
        return true;
    bool const changed = known->second.per_second != notice.per_second;
    known->second = std::move(notice);
    return changed;
}

bool worker_limits::forget_past(time_point now)
{
    return std::erase_if(notices_,
                         [now](auto const& each) {
                             return each.second.heard_at +
                                        lifetime_of(each.second) <=
                                    now;
                         }) > 0;
}

std::optional<worker_limit_notice>
worker_limits::notice_of(worker_id const& worker) const
{
    auto const known = notices_.find(worker);
    return known == notices_.end() ? std::nullopt
                                   : std::optional(known->second);
}

std::optional<double> worker_limits::limit_of(worker_id const& worker) const
{
    auto const known = notices_.find(worker);
    return known == notices_.end() ? std::nullopt : known->second.per_second;
}

std::map<allotment_id, allotment> worker_limits::allotments() const
{
    std::map<allotment_id, allotment> allotments;
    for (auto const& [worker, notice] : notices_)
        if (notice.per_second)
            allotments.emplace(allotment_key(worker),
                               allotment{allotment_unit::requests,
                                         *notice.per_second, burst, 1});
    return allotments;
}

std::vector<worker_limit_notice> worker_limits::notices() const
{
    std::vector<worker_limit_notice> all;
    for (auto const& [worker, notice] : notices_)
        all.push_back(notice);
    return all;
}

} // namespace mulberry
