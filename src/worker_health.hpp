/// How well one worker answers, judged by its answers alone.
#ifndef MULBERRY_WORKER_HEALTH_HPP
#define MULBERRY_WORKER_HEALTH_HPP

#include "time_point.hpp"

#include <cstddef>
#include <map>

namespace mulberry
{

/// What a worker made of one request.
enum class send_outcome
{
    served,
    /// An answer that says failure, and that the request ran.
    failed,
    /// It refused for want of room.
    full,
    /// It does not hold the model or adapter, or not the version.
    not_held,
    /// It could not be reached: nothing was sent.
    unreachable,
    /// The connection broke, or the bytes were no answer.
    broken,
    /// No answer in time.
    silent,
    /// This VM gave the request up; says nothing of the worker.
    abandoned
};

/// Loads it answers: a worker that fails, hangs or cannot be reached while its
/// status check is good. It has the fewest requests in progress and so would
/// draw them all. One failure proves little, and a service whose every worker
/// fails has no better one: the share of failures is compared with the
/// others'. Thread safety: none.
class worker_health
{
public:
    /// `first_byte_after`: how long it should take to begin its answer, as far
    /// as that follows from the request and from what is ahead of it; beside
    /// this the worker's usual time is allowed for.
    void sent(time_point now, duration first_byte_after = duration(0));
    void first_byte(time_point sent_at, time_point now);
    void ended(send_outcome outcome, time_point sent_at, time_point now);

    /// How a request ended that another VM sent.
    void told(send_outcome outcome, time_point now);

    std::size_t outstanding() const { return pending_total_; }
    /// This VM itself could not reach it, or heard nothing from it.
    bool unreached(time_point now) const;
    /// Could not be reached, or left everything unanswered for too long, and
    /// has answered nothing since.
    bool avoided(time_point now) const;
    /// It answered this VM a question of another kind: this VM can reach it
    /// after all.
    void reached(time_point now);
    /// May be tried with one request although it is avoided.
    bool may_probe(time_point now) const;
    void probed(time_point now);
    /// Share of failures among the last answers, 0 to 1. It fades while
    /// nothing is sent: a worker that is left alone for its failures would
    /// otherwise never be tried again.
    double failure_share(time_point now) const;
    /// Until then it has no room, by its own word.
    bool full(time_point now) const { return now < full_until_; }
    /// Mean time to the first byte.
    duration mean_first_byte() const { return mean_first_byte_; }
    /// How long a request may stay without a first byte before the worker
    /// counts as silent.
    duration patience() const;
    /// When it last began to answer.
    time_point answered_at() const { return last_byte_; }
    /// The moment at which it will count as silent if nothing comes; never
    /// when nothing is outstanding.
    time_point silent_at() const;

private:
    duration longest_expected() const;
    void avoid(int failures, time_point now);
    void judge(bool failed, time_point now);

    /// When each was sent that has no first byte yet, and after how long one
    /// was expected.
    std::multimap<time_point, duration> pending_;
    std::size_t pending_total_ = 0;
    time_point last_byte_{};
    time_point full_until_{};
    time_point next_probe_{};
    int failures_in_a_row_ = 0;
    /// Of other VMs' requests.
    int told_failures_in_a_row_ = 0;
    time_point told_until_{};
    double failure_share_ = 0;
    time_point judged_at_{};
    duration mean_first_byte_ = std::chrono::milliseconds(50);
};

} // namespace mulberry

#endif
