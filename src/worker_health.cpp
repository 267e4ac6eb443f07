#include "worker_health.hpp"

#include <algorithm>
#include <cmath>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Weight of the newest answer in moving averages: about the last twenty
/// answers count.
constexpr double newest_weight = 0.05;
/// An unreachable worker is probed again with exponential backoff between these
/// limits: a restart takes one to some seconds.
constexpr milliseconds first_avoid{250};
constexpr milliseconds longest_avoid{2000};
constexpr int most_doublings = 4;
constexpr int told_failures_that_count = 2;
constexpr milliseconds probe_interval{500};
/// Time constant of the decay of the share of failures without answers: a
/// worker avoided at 0.4 is tried again after some two seconds.
constexpr std::chrono::seconds fading_time{3};
/// A worker with a full queue has room again after the time of a few requests.
constexpr milliseconds full_pause{60};
/// The silence timeout is a multiple of the usual time to the first byte, so
/// that a service that is slow as a whole does not count as dead.
constexpr int silence_multiple = 6;
constexpr milliseconds least_patience{350};
constexpr milliseconds most_patience{2000};
/// An expected time to the first byte may be exceeded by this factor before the
/// worker counts as silent: a worker reads the prompts of several VMs, and each
/// VM knows only its own. Load it answers: prompts that take a second to read.
/// If these were taken for silence and read again by another worker, they would
/// be a sixth of all prompts read.
constexpr int expected_multiple = 2;

} // namespace

void worker_health::sent(time_point now, duration first_byte_after)
{
    pending_.emplace(now, first_byte_after);
    ++pending_total_;
}

void worker_health::first_byte(time_point sent_at, time_point now)
{
    if (auto const found = pending_.find(sent_at); found != pending_.end())
        pending_.erase(found);
    last_byte_ = now;
    failures_in_a_row_ = 0;
    told_failures_in_a_row_ = 0;
    auto const took = std::min<duration>(now - sent_at, most_patience);
    mean_first_byte_ += duration(static_cast<duration::rep>(
        newest_weight * double((took - mean_first_byte_).count())));
}

void worker_health::ended(send_outcome outcome, time_point sent_at,
                          time_point now)
{
    if (auto const found = pending_.find(sent_at); found != pending_.end())
        pending_.erase(found);
    pending_total_ -= pending_total_ > 0;
    switch (outcome)
    {
    case send_outcome::served:
        return judge(false, now);
    case send_outcome::failed:
    case send_outcome::broken:
        return judge(true, now);
    case send_outcome::full:
        full_until_ = now + full_pause;
        return;
    case send_outcome::not_held:
    case send_outcome::abandoned:
        return;
    case send_outcome::unreachable:
    case send_outcome::silent:
        return avoid(++failures_in_a_row_, now);
    }
}

/// Reports of other VMs count for a limited time: without the limit no VM would
/// try the worker again. Failure: a worker goes dark, and the VM that owns it
/// sends it no requests of its own. The owner grants one request after another,
/// each of which waits for a connection that is never made. A single VM that
/// cannot reach a worker proves little; the second failure in a row counts.
void worker_health::told(send_outcome outcome, time_point now)
{
    switch (outcome)
    {
    case send_outcome::served:
        told_failures_in_a_row_ = 0;
        return judge(false, now);
    case send_outcome::failed:
    case send_outcome::broken:
        return judge(true, now);
    case send_outcome::unreachable:
    case send_outcome::silent:
        if (++told_failures_in_a_row_ >= told_failures_that_count)
            avoid(told_failures_in_a_row_, now);
        told_until_ = now + longest_avoid;
        return;
    case send_outcome::full:
    case send_outcome::not_held:
    case send_outcome::abandoned:
        return;
    }
}

void worker_health::reached(time_point now)
{
    failures_in_a_row_ = 0;
    last_byte_ = now;
}

void worker_health::judge(bool failed, time_point now)
{
    failure_share_ = failure_share(now);
    failure_share_ += newest_weight * (double(failed) - failure_share_);
    judged_at_ = now;
}

double worker_health::failure_share(time_point now) const
{
    std::chrono::duration<double> const idle = now - judged_at_;
    return failure_share_ * std::exp(-idle / fading_time);
}

void worker_health::avoid(int failures, time_point now)
{
    next_probe_ =
        now + std::min<duration>(first_avoid *
                                     (1 << std::min(failures, most_doublings)),
                                 longest_avoid);
}

/// Failure: an unreachable worker is given all requests again when its backoff
/// is over, and all of these wait for it once more. Therefore one probe is sent
/// first, and the other requests follow once it was answered.
bool worker_health::avoided(time_point now) const
{
    return unreached(now) ||
           (told_failures_in_a_row_ >= told_failures_that_count &&
            now < told_until_);
}

bool worker_health::unreached(time_point now) const
{
    return failures_in_a_row_ > 0 || now >= silent_at();
}

bool worker_health::may_probe(time_point now) const
{
    return now >= next_probe_ && pending_.empty();
}

void worker_health::probed(time_point now)
{
    next_probe_ = now + probe_interval;
}

duration worker_health::longest_expected() const
{
    duration longest{};
    for (auto const& [sent_at, expected] : pending_)
        longest = std::max(longest, expected);
    return longest;
}

duration worker_health::patience() const
{
    return std::clamp<duration>(mean_first_byte_ * silence_multiple,
                                least_patience, most_patience) +
           longest_expected() * expected_multiple;
}

time_point worker_health::silent_at() const
{
    if (pending_.empty())
        return never;
    return std::max(pending_.begin()->first, last_byte_) + patience();
}

} // namespace mulberry
