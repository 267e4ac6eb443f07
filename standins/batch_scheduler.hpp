/// Continuous batching: a limited number of jobs run at once, each generating
/// tokens at the engine's rate; the other jobs wait by priority, then arrival.
#ifndef MULBERRY_BATCH_SCHEDULER_HPP
#define MULBERRY_BATCH_SCHEDULER_HPP

#include "token_bucket.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace mulberry::standins
{

/// Increases in the order of arrival.
enum class job_id : std::uint64_t
{
};

struct batch_settings
{
    std::size_t slots = 8;
    std::size_t queue_limit = 256;
    std::chrono::microseconds token_time{20'000};
};

/// The job generated tokens [from, to); from == to means that the job got a
/// slot.
struct batch_step
{
    job_id job{};
    std::size_t from = 0;
    std::size_t to = 0;

    friend bool operator==(batch_step const&, batch_step const&) = default;
};

/// Not thread safe; the caller passes the time, which must not decrease.
class batch_scheduler
{
public:
    /// Returns the time until the job's first token; called when the job gets a
    /// slot.
    using prefill_time = std::function<std::chrono::microseconds(job_id)>;

    batch_scheduler(batch_settings settings, prefill_time prefill);

    /// Queues a job, which starts at the next advance() if a slot is free.
    /// Returns false if all slots are taken and the queue is full.
    /// Precondition: tokens is positive.
    bool admit(job_id job, int priority, std::size_t tokens);
    /// Removes a waiting or running job; ignores unknown jobs.
    void remove(job_id job);
    void clear();
    /// Returns the steps that have come due since the last call, in order. A
    /// job is removed after its last token.
    std::vector<batch_step> advance(steady_time now);
    /// Returns when advance() will next return a step; nullopt while held or if
    /// no job runs.
    std::optional<steady_time> next_due() const;

    void set_token_time(std::chrono::microseconds token_time);
    /// Pauses or resumes token generation of the running jobs. Tokens missed
    /// during a pause are not generated at once afterwards.
    void hold(bool held, steady_time now);

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct running_job
    {
        job_id job;
        std::size_t tokens;
        std::size_t generated;
        steady_time due;
    };

    void fill_slots(steady_time now, std::vector<batch_step>& steps);
    void generate_tokens(steady_time now, std::vector<batch_step>& steps);

    batch_settings settings_;
    prefill_time prefill_;
    bool held_ = false;
    /// Ordered by decreasing priority, then arrival.
    std::map<std::pair<int, job_id>, std::size_t> waiting_;
    std::vector<running_job> running_;
};

} // namespace mulberry::standins

#endif
