/// Health of one worker, judged by how it answers requests.
#ifndef MULBERRY_WORKER_HEALTH_HPP
#define MULBERRY_WORKER_HEALTH_HPP

#include "time_point.hpp"

#include <cstddef>
#include <map>

namespace mulberry
{

/// How a worker handled one request.
enum class send_outcome
{
    served,
    /// The answer reports a failure; the request ran.
    failed,
    /// The worker refused the request because its queue is full.
    full,
    /// The worker does not hold the model, the adapter, or its version.
    not_held,
    /// The connection failed: nothing was sent.
    unreachable,
    /// The connection broke, or the bytes were not a valid answer.
    broken,
    /// No answer in time.
    silent,
    /// This VM gave the request up; says nothing about the worker.
    abandoned
};

/// Load it answers: a worker fails, hangs or cannot be reached while its status
/// check succeeds. Such a worker has the fewest requests in progress, so that
/// least-loaded balancing would send it everything. A single failure proves
/// little, and a service whose workers all fail has no better worker: callers
/// compare the share of failures with that of the other workers.
///
/// Thread safety: none.
class worker_health
{
public:
    /// Records that a request was sent. `first_byte_after` is the expected time
    /// to the first byte, as far as the request and the queue ahead of it
    /// determine it; the worker's usual time is allowed for in addition.
    void sent(time_point now, duration first_byte_after = duration(0));
    void first_byte(time_point sent_at, time_point now);
    void ended(send_outcome outcome, time_point sent_at, time_point now);

    /// Records how a request ended that another VM sent.
    void on_peer_outcome(send_outcome outcome, time_point now);

    std::size_t outstanding() const { return pending_total_; }
    /// Whether this VM itself could not reach the worker, or had no answer in
    /// time.
    bool is_unreachable(time_point now) const;
    /// Whether to send the worker no requests: it could not be reached, or left
    /// everything unanswered for too long, and has answered nothing since; or
    /// other VMs recently failed to reach it.
    bool is_avoided(time_point now) const;
    /// Records that the worker answered this VM other than to a request (for
    /// example with a report), so that this VM can reach it.
    void on_reached(time_point now);
    /// Whether a single request may be sent as a probe although the worker is
    /// avoided.
    bool may_probe(time_point now) const;
    void on_probe_sent(time_point now);
    /// Moving average of the share of failures among the answers, 0 to 1. It
    /// decays while nothing is sent: a worker that gets no requests because of
    /// its failures would otherwise never be tried again.
    double failure_share(time_point now) const;
    /// Whether the worker reported a full queue a moment ago.
    bool is_full(time_point now) const { return now < full_until_; }
    /// Moving average of the time to the first byte.
    duration mean_first_byte() const { return mean_first_byte_; }
    /// How long a request may stay without a first byte before the worker
    /// counts as silent.
    duration first_byte_timeout() const;
    /// When the worker last began an answer, or answered this VM otherwise.
    time_point last_answer_at() const { return last_answer_at_; }
    /// When the worker will count as silent if nothing arrives; `never` if no
    /// request waits for a first byte.
    time_point silent_at() const;

private:
    duration longest_expected() const;
    void schedule_probe(int failures, time_point now);
    void record_result(bool failed, time_point now);

    /// Requests without a first byte: when each was sent, and its expected time
    /// to the first byte.
    std::multimap<time_point, duration> pending_;
    std::size_t pending_total_ = 0;
    time_point last_answer_at_{};
    time_point full_until_{};
    time_point next_probe_{};
    int failures_in_a_row_ = 0;
    /// Failures in a row among requests of other VMs.
    int peer_failures_in_a_row_ = 0;
    time_point peer_failures_until_{};
    double failure_share_ = 0;
    time_point last_result_at_{};
    duration mean_first_byte_ = std::chrono::milliseconds(50);
};

} // namespace mulberry

#endif
