/// What a worker's owner counts: the two measures, and how fast it serves.
#ifndef MULBERRY_DISPATCH_METER_HPP
#define MULBERRY_DISPATCH_METER_HPP

#include "application_usage.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace mulberry
{

/// What was counted for the two measures; totals that only rise.
struct dispatch_counts
{
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    /// Given up by the caller while waiting or sent.
    std::uint64_t withdrawn = 0;
    /// Requests whose adapter was not ready when they arrived (or was lost
    /// while they waited), and the sum of the time each of them waited until
    /// its adapter was ready, it was answered otherwise or it was withdrawn,
    /// whichever came first.
    std::uint64_t stalled = 0;
    duration stall_time{};
    /// Integral over time of running requests, and of batch slots while at
    /// least one request was running or queued: their ratio is the batch
    /// efficiency.
    duration busy_slot_time{};
    duration open_slot_time{};
    std::uint64_t loads = 0;
    std::uint64_t failed_loads = 0;
    std::uint64_t evictions = 0;
    std::uint64_t resumes = 0;

    dispatch_counts& operator+=(dispatch_counts const& more);
};

/// Thread safety: none.
class dispatch_meter
{
public:
    dispatch_meter(std::size_t batch_slots, time_point now);

    dispatch_counts totals;
    /// The same by application.
    usage_meter usage;

    /// The totals up to `now`, `running` and `queued` having held since the
    /// last advance().
    dispatch_counts totals_at(std::size_t running, std::size_t queued,
                              time_point now) const;
    /// Before a change of `running` or `queued`: accounts for the time that
    /// they held.
    void advance(std::size_t running, std::size_t queued, time_point now);
    /// After a change: remembers how many ran, to compare late reports with.
    void record_running(std::size_t running, time_point now);
    /// The most that ran at any moment from `since` on. Forgets what is older.
    std::size_t max_running(time_point since);

    /// A request was served whole in that time.
    void add_service_time(duration time);
    /// How long `ahead` requests take to be served; none before the first one
    /// was measured.
    std::optional<duration> time_to_serve(std::size_t ahead) const;
    /// How long an answer takes, once sent; none before the first.
    std::optional<duration> service_time() const { return service_time_; }

private:
    std::size_t batch_slots_;
    time_point accounted_to_;
    std::optional<duration> service_time_;
    std::deque<std::pair<time_point, std::size_t>> history_;
};

} // namespace mulberry

#endif
