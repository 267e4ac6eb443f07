#include "store_contact.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Delay after a failed query, doubled with each consecutive failure up to
/// max_store_retry_delay.
constexpr milliseconds initial_retry_delay{100};
constexpr int max_doublings = 4;

} // namespace

bool store_contact::on_answer(time_point as_of, time_point now)
{
    known_at_ = std::max(known_at_, as_of);
    if (!std::exchange(lost_, false))
        return false;
    returned_at_ = now;
    return true;
}

bool store_contact::on_failure(time_point now)
{
    if (std::exchange(lost_, true))
        return false;
    if (now >= returned_at_ + lapse_grace)
        outage_after_ = known_at_;
    return true;
}

/// Failure: one query of this VM is lost while others are answered, and a
/// worker that leaves just then is kept for seconds, as if its entry had
/// lapsed.
time_point store_contact::trusted_at(time_point now) const
{
    time_point const returned_at = lost_ ? now : returned_at_;
    return returned_at - outage_after_ >= min_lapse_outage_
               ? returned_at + lapse_grace
               : returned_at;
}

/// Failure: queries hang until their deadlines, each followed by a delay, and
/// the store's return is noticed so late that workers which left at that moment
/// stay in use beyond the bound. So the delay begins with the query.
time_point store_contact::retry_at(int failures, time_point asked_at)
{
    int const doublings = std::min(failures - 1, max_doublings);
    return asked_at + std::min<duration>(initial_retry_delay * (1 << doublings),
                                         max_store_retry_delay);
}

} // namespace mulberry
