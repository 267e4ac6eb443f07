/// Continuous batching: a few jobs run at once, each making its tokens at the
/// engine's pace; the rest wait by priority, then arrival.
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

/// Rises with arrival.
enum class job_id : std::uint64_t
{
};

struct batch_settings
{
    std::size_t slots = 8;
    std::size_t queue_limit = 256;
    std::chrono::microseconds token_time{20'000};
};

/// The job's tokens [from, to) were made; from == to: it got its slot.
struct batch_step
{
    job_id job{};
    std::size_t from = 0;
    std::size_t to = 0;

    friend bool operator==(batch_step const&, batch_step const&) = default;
};

/// Not thread safe; the caller brings the time, which never goes back.
class batch_scheduler
{
public:
    /// How long the job's first token takes; asked when the job gets a slot.
    using prefill_time = std::function<std::chrono::microseconds(job_id)>;

    batch_scheduler(batch_settings settings, prefill_time prefill);

    /// False if all slots are taken and the queue is full. A job starts at
    /// the next advance(). Precondition: tokens is positive.
    bool admit(job_id job, int priority, std::size_t tokens);
    /// Takes out a job that waits or runs; others are ignored.
    void remove(job_id job);
    void clear();
    /// What has come due since the last call, in order. A job leaves with its
    /// last token.
    std::vector<batch_step> advance(steady_time now);
    /// When advance() will next have something to say.
    std::optional<steady_time> next_due() const;

    void set_token_time(std::chrono::microseconds token_time);
    /// While held, running jobs make no token.
    void hold(bool held, steady_time now);

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct running_job
    {
        job_id job;
        std::size_t tokens;
        std::size_t made;
        steady_time due;
    };

    void fill_slots(steady_time now, std::vector<batch_step>& steps);
    void make_tokens(steady_time now, std::vector<batch_step>& steps);

    batch_settings settings_;
    prefill_time prefill_;
    bool held_ = false;
    /// By falling priority, then arrival.
    std::map<std::pair<int, job_id>, std::size_t> waiting_;
    std::vector<running_job> running_;
};

} // namespace mulberry::standins

#endif
