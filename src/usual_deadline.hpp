/// Estimates how long a route's callers wait when they call for the first time.
#ifndef MULBERRY_USUAL_DEADLINE_HPP
#define MULBERRY_USUAL_DEADLINE_HPP

#include "time_point.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace mulberry
{

/// Load it answers: callers that were refused return while the load goes on,
/// and take the place of others whose answers can still be in time. A caller
/// that has less time left than its route's callers usually have spent the rest
/// elsewhere. A route's timeout does not tell: callers may wait for longer.
///
/// Each first call returns at most once or twice, so that first calls are more
/// than a quarter of all. Thread safety: none. No I/O, no clock.
class usual_deadline
{
public:
    /// A caller says that it waits for `time_left` from now.
    void add(duration time_left);
    /// A high quantile of the recent calls' times; nullopt before there were
    /// enough of them.
    std::optional<duration> value() const { return value_; }

private:
    static constexpr std::size_t max_samples = 64;

    void update();

    std::array<duration, max_samples> samples_{};
    std::size_t count_ = 0;
    std::size_t next_ = 0;
    std::optional<duration> value_;
};

} // namespace mulberry

#endif
