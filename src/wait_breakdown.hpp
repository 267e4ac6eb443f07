/// Breaks the time that a request waits at a VM down by cause.
#ifndef MULBERRY_WAIT_BREAKDOWN_HPP
#define MULBERRY_WAIT_BREAKDOWN_HPP

#include "time_point.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mulberry
{

/// What a request waits for before it is sent to the worker that answers it.
enum class wait_cause
{
    /// Units of its team's allotment.
    allotment,
    /// The grant of another VM that owns a worker.
    owner_grant,
    /// The load of its adapter at a worker of this VM.
    adapter_load,
    /// A free batch slot, or a worker that may be used at all.
    batch_slot,
    /// Room in the limit that the chosen worker names.
    worker_limit,
    /// A send that failed and was repeated.
    retry
};

inline constexpr std::array all_wait_causes{
    wait_cause::allotment,  wait_cause::owner_grant,  wait_cause::adapter_load,
    wait_cause::batch_slot, wait_cause::worker_limit, wait_cause::retry};

std::string_view to_string(wait_cause cause);

/// The time that one request has waited, by cause. One cause applies at a time.
/// Value. Thread safety: none. The times passed must not decrease.
class wait_breakdown
{
public:
    /// From now on the request waits for `cause`, and for nothing else.
    void begin(wait_cause cause, time_point now);
    /// The request waits for nothing from now on.
    void end(time_point now);
    /// Adds time that is known only afterwards; the cause that applies now
    /// stays.
    void add(wait_cause cause, duration waited);
    duration waited(wait_cause cause, time_point now) const;
    /// The causes with at least a millisecond, as CAUSE:MS, separated by
    /// commas.
    std::string text(time_point now) const;
    friend bool operator==(wait_breakdown const&,
                           wait_breakdown const&) = default;

private:
    std::array<duration, all_wait_causes.size()> sums_{};
    bool waiting_ = false;
    wait_cause cause_ = wait_cause::batch_slot;
    time_point since_{};
};

/// Histograms of waits, one for each cause, in constant memory. Thread safety:
/// none.
class wait_histograms
{
public:
    /// Upper bounds of the buckets in seconds; the last bucket has none.
    static constexpr std::array<double, 10> bounds{
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

    /// Adds the waits of one request, for the causes that it waited for.
    void add(wait_breakdown const& waits, time_point now);
    /// Returns the histograms NAME_bucket, NAME_sum and NAME_count in the
    /// Prometheus text format, with the label `cause`.
    std::string text(std::string_view name) const;

private:
    struct histogram
    {
        std::array<std::uint64_t, bounds.size() + 1> counts{};
        double sum = 0;
    };

    std::array<histogram, all_wait_causes.size()> by_cause_;
};

} // namespace mulberry

#endif
