/// The weight store's limits: a rate above which loads are refused, and a
/// number of concurrent loads above which all loads share the bandwidth.
#ifndef MULBERRY_WEIGHT_GATE_HPP
#define MULBERRY_WEIGHT_GATE_HPP

#include "token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberry::standins
{

struct weight_limits
{
    double loads_per_second = 9;
    std::size_t loads_at_once = 4;
    /// Duration of one load at full speed.
    std::chrono::microseconds load_time{400'000};
};

enum class load_id : std::uint64_t
{
};

/// Not thread safe; the caller passes the time, which must not decrease.
class weight_gate
{
public:
    explicit weight_gate(weight_limits limits);
    /// Starts a load. Returns nullopt if the load exceeds the rate limit.
    std::optional<load_id> start(steady_time now);
    /// Returns the loads completed since the last call.
    std::vector<load_id> finished(steady_time now);
    /// Returns when the next load will complete if no load starts and the speed
    /// stays; nullopt if there is no load.
    std::optional<steady_time> next_finish() const;
    /// Makes every load take `factor` times as long, including the remainder of
    /// loads in progress. Precondition: factor > 0.
    void slow_down(steady_time now, double factor);

private:
    double speed() const;
    void advance(steady_time now);

    weight_limits limits_;
    token_bucket bucket_;
    double slow_factor_ = 1;
    std::uint64_t last_id_ = 0;
    steady_time advanced_at_{};
    /// Seconds of full-speed work done so far on a load in progress since the
    /// gate was created.
    double progress_ = 0;
    /// Loads in progress by the value of progress_ at which they complete.
    std::multimap<double, load_id> loads_by_end_;
};

} // namespace mulberry::standins

#endif
