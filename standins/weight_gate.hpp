/// The weight store's limits: a rate beyond which loads are refused, a width
/// beyond which all loads under way share its speed.
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
    /// Of one load at full speed.
    std::chrono::microseconds load_time{400'000};
};

enum class load_id : std::uint64_t
{
};

/// Not thread safe; the caller brings the time, which never goes back.
class weight_gate
{
public:
    explicit weight_gate(weight_limits limits);
    /// Nothing if the load is beyond the rate.
    std::optional<load_id> start(steady_time now);
    /// The loads that are over by now, each named once.
    std::vector<load_id> finished(steady_time now);
    /// When the next load will be over if nothing changes.
    std::optional<steady_time> next_finish() const;
    /// Every load takes that many times as long. Precondition: factor > 0.
    void slow_down(steady_time now, double factor);

private:
    double speed() const;
    void advance(steady_time now);

    weight_limits limits_;
    token_bucket bucket_;
    double slow_factor_ = 1;
    std::uint64_t last_id_ = 0;
    steady_time advanced_at_{};
    /// Seconds of work done on each load that was under way all the time.
    double progress_ = 0;
    /// Loads by the progress at which they are over.
    std::multimap<double, load_id> ends_;
};

} // namespace mulberry::standins

#endif
