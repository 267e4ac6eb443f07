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
constexpr double smoothing_factor = 0.05;
/// An unreachable worker is probed again with exponential backoff between these
/// limits: a restart takes one to some seconds.
constexpr milliseconds initial_backoff{250};
constexpr milliseconds max_backoff{2000};
constexpr int max_doublings = 4;
constexpr int min_peer_failures = 2;
constexpr milliseconds probe_interval{500};
/// Time constant of the decay of the share of failures without answers: a
/// worker avoided at 0.4 is tried again after some two seconds.
constexpr std::chrono::seconds failure_decay_time{3};
/// A worker with a full queue has room again after the time of a few requests.
constexpr milliseconds full_queue_backoff{60};
/// The first-byte timeout is a multiple of the usual time to the first byte, so
/// that a service that is slow as a whole does not count as dead.
constexpr int mean_first_byte_factor = 6;
constexpr milliseconds min_first_byte_timeout{350};
constexpr milliseconds max_first_byte_timeout{2000};
/// An expected time to the first byte may be exceeded by this factor before the
/// worker counts as silent: a worker prefills prompts of several VMs, and each
/// VM knows only its own. Load it answers: prompts that take a second to
/// prefill. If these were taken for silence and prefilled again by another
/// worker, they would be a sixth of all prefilled prompts.
constexpr int expected_first_byte_factor = 2;

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
    last_answer_at_ = now;
    failures_in_a_row_ = 0;
    peer_failures_in_a_row_ = 0;
    auto const took = std::min<duration>(now - sent_at, max_first_byte_timeout);
    mean_first_byte_ += duration(static_cast<duration::rep>(
        smoothing_factor * double((took - mean_first_byte_).count())));
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
        return record_result(false, now);
    case send_outcome::failed:
    case send_outcome::broken:
        return record_result(true, now);
    case send_outcome::full:
        full_until_ = now + full_queue_backoff;
        return;
    case send_outcome::not_held:
    case send_outcome::abandoned:
        return;
    case send_outcome::unreachable:
    case send_outcome::silent:
        return schedule_probe(++failures_in_a_row_, now);
    }
}

/// Reports of other VMs count for a limited time: without the limit no VM would
/// try the worker again. Failure: a worker goes dark, and the VM that owns it
/// sends it no requests of its own. The owner grants one request after another,
/// each of which waits for a connection that is never made. A single VM that
/// cannot reach a worker proves little; the second failure in a row counts.
void worker_health::on_peer_outcome(send_outcome outcome, time_point now)
{
    switch (outcome)
    {
    case send_outcome::served:
        peer_failures_in_a_row_ = 0;
        return record_result(false, now);
    case send_outcome::failed:
    case send_outcome::broken:
        return record_result(true, now);
    case send_outcome::unreachable:
    case send_outcome::silent:
        if (++peer_failures_in_a_row_ >= min_peer_failures)
            schedule_probe(peer_failures_in_a_row_, now);
        peer_failures_until_ = now + max_backoff;
        return;
    case send_outcome::full:
    case send_outcome::not_held:
    case send_outcome::abandoned:
        return;
    }
}

void worker_health::on_reached(time_point now)
{
    failures_in_a_row_ = 0;
    last_answer_at_ = now;
}

void worker_health::record_result(bool failed, time_point now)
{
    failure_share_ = failure_share(now);
    failure_share_ += smoothing_factor * (double(failed) - failure_share_);
    last_result_at_ = now;
}

double worker_health::failure_share(time_point now) const
{
    std::chrono::duration<double> const idle = now - last_result_at_;
    return failure_share_ * std::exp(-idle / failure_decay_time);
}

void worker_health::schedule_probe(int failures, time_point now)
{
    next_probe_ =
        now + std::min<duration>(initial_backoff *
                                     (1 << std::min(failures, max_doublings)),
                                 max_backoff);
}

/// Failure: an unreachable worker is given all requests again when its backoff
/// is over, and all of these wait for it once more. Therefore one probe is sent
/// first, and the other requests follow once it was answered.
bool worker_health::is_avoided(time_point now) const
{
    return is_unreachable(now) ||
           (peer_failures_in_a_row_ >= min_peer_failures &&
            now < peer_failures_until_);
}

bool worker_health::is_unreachable(time_point now) const
{
    return failures_in_a_row_ > 0 || now >= silent_at();
}

bool worker_health::may_probe(time_point now) const
{
    return now >= next_probe_ && pending_.empty();
}

void worker_health::on_probe_sent(time_point now)
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

duration worker_health::first_byte_timeout() const
{
    return std::clamp<duration>(mean_first_byte_ * mean_first_byte_factor,
                                min_first_byte_timeout,
                                max_first_byte_timeout) +
           longest_expected() * expected_first_byte_factor;
}

time_point worker_health::silent_at() const
{
    if (pending_.empty())
        return never;
    return std::max(pending_.begin()->first, last_answer_at_) +
           first_byte_timeout();
}

} // namespace mulberry
