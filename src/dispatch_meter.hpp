/// Counts a worker's stalls and batch efficiency, and measures its service
/// time.
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

/// Counts for the stall time and the batch efficiency; totals that only rise.
struct dispatch_counts
{
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    /// Requests whose caller disconnected while they were queued or sent.
    std::uint64_t withdrawn = 0;
    /// Requests whose adapter was not ready when they arrived (or stopped being
    /// ready while they were queued), and the sum of their stall times: the
    /// time until the adapter was ready, the request was answered otherwise or
    /// the request was withdrawn, whichever came first.
    std::uint64_t stalled = 0;
    duration stall_time{};
    /// The number of running requests integrated over time, and the number of
    /// batch slots integrated over the time with at least one request running
    /// or queued. Their ratio is the batch efficiency.
    duration busy_slot_time{};
    duration open_slot_time{};
    std::uint64_t loads = 0;
    std::uint64_t failed_loads = 0;
    std::uint64_t evictions = 0;
    std::uint64_t resumes = 0;

    dispatch_counts& operator+=(dispatch_counts const& more);
};

/// Counts a worker's requests and slot time. Thread safety: none.
class dispatch_meter
{
public:
    dispatch_meter(std::size_t batch_slots, time_point now);

    dispatch_counts totals;
    /// Usage by application.
    usage_meter usage;

    /// The totals up to `now`, if `running` and `queued` have been constant
    /// since the last advance().
    dispatch_counts totals_at(std::size_t running, std::size_t queued,
                              time_point now) const;
    /// Adds the time since the last call to the totals, during which `running`
    /// and `queued` were constant. Must be called before either changes.
    void advance(std::size_t running, std::size_t queued, time_point now);
    /// Records the number of running requests after a change, to compare late
    /// reports with.
    void record_running(std::size_t running, time_point now);
    /// The maximum number of running requests at any moment from `since` on.
    /// Discards older records, so that a later call with an earlier `since`
    /// covers only the time from the latest `since` so far.
    std::size_t max_running(time_point since);

    /// Adds the time from sending a request to the end of its complete answer.
    void add_service_time(duration time);
    /// The estimated time until `ahead` requests are served; none before the
    /// first call of add_service_time().
    std::optional<duration> time_to_serve(std::size_t ahead) const;
    /// The smoothed service time; none before the first call of
    /// add_service_time().
    std::optional<duration> service_time() const { return service_time_; }

private:
    std::size_t batch_slots_;
    time_point accounted_to_;
    std::optional<duration> service_time_;
    std::deque<std::pair<time_point, std::size_t>> history_;
};

} // namespace mulberry

#endif
