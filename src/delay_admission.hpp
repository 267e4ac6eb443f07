/// Refuses part of a service's requests while its workers answer too late.
#ifndef MULBERRY_DELAY_ADMISSION_HPP
#define MULBERRY_DELAY_ADMISSION_HPP

#include "fair_shares.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace mulberry
{

/// Load it answers: many VMs send more to a few workers than these can run. No
/// VM knows the others' requests, so the workers' queues fill, and all answers
/// come later than their objective although the workers run as much as ever.
///
/// The time that answers take beyond the least mean of the last minute is spent
/// in the workers' queues. From it, this VM derives the share of new requests
/// that it refuses, by the controller of PIE (RFC 8033): the share grows with
/// the distance of the delay from its target and with the delay's own growth.
/// All VMs see the queues of the same workers, so their shares come near each
/// other without a message. Thread safety: none. No I/O, no clock.
class delay_admission
{
public:
    /// `objective`: the shortest of the service's routes. `seed` decides which
    /// requests are refused.
    delay_admission(duration objective, std::uint64_t seed);
    void set_objective(duration objective) { objective_ = objective; }

    /// The worker began to answer a request after `took`.
    void on_answer(worker_id const& worker, duration took, time_point now);
    /// The worker rejected a request since its queue was full.
    void on_full(worker_id const& worker, time_point now);

    /// What the recent delay of the worker's answers counts when workers are
    /// compared; 0 if none is known.
    duration placement_delay(worker_id const& worker, time_point now) const;

    /// Sets how many workers the service has; 0: unknown.
    void set_workers(std::size_t count) { worker_count_ = count; }

    /// Whether to send a new request of the team to a worker. Teams that ask
    /// for more than their fair share by `weight` are refused first; see
    /// fair_shares.hpp. `late`: the request is past its objective; no such one
    /// is admitted for a second after another one was refused.
    bool admit(team_id const& team, double weight, bool late, time_point now);
    /// When the caller of a request that was just refused may return: later for
    /// each further one, so that they return one after another, and not before
    /// half of its time is over. It cannot be served in time any more, and by
    /// then the load may have passed.
    duration retry_after(time_point give_up_at, time_point now);

    /// The share of new requests that is refused, 0 to 1.
    double refused_share() const { return refused_share_; }
    /// Requests refused since the start.
    std::uint64_t refused() const { return refused_; }

private:
    /// Moving average of delays, in seconds.
    struct mean_delay
    {
        double delay = 0;
        time_point observed_at{};
        void add(duration delay, time_point now);
    };
    struct mean_answer
    {
        duration time{};
        time_point at{};
    };

    void record_time(duration took, time_point now);
    void observe(worker_id const& worker, duration delay, time_point now);
    void update_share(time_point now);
    /// Whether a worker that answered lately has a short queue, or too few are
    /// known to tell that none has.
    bool may_have_short_queue(time_point now) const;
    /// Forgets the delays, and refuses nothing.
    void reset();

    /// Means that no later one is below; ascending in both members.
    std::deque<mean_answer> least_means_;
    /// Answers since `mean_since_`.
    duration time_sum_{};
    std::size_t mean_of_ = 0;
    time_point mean_since_{};
    duration objective_;
    std::size_t worker_count_ = 0;
    std::map<worker_id, mean_delay> workers_;
    mean_delay all_;
    double delay_before_ = 0;
    /// Mean delay to aim for, in seconds; 0 while nothing is refused since too
    /// little is known, or the objective is out of reach.
    double target_ = 0;
    time_point updated_at_{};
    double refused_share_ = 0;
    fair_shares shares_;
    /// Requests to be refused, in part.
    double due_ = 0;
    std::uint64_t refused_ = 0;
    time_point late_refused_until_{};
    time_point next_return_{};
    /// Moving average of the time between admitted requests, in seconds.
    double admitted_gap_ = 0;
    time_point admitted_at_{};
};

} // namespace mulberry

#endif
