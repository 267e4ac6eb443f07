/// Events in virtual time, for replays without waiting.
#ifndef MULBERRY_EVENT_QUEUE_HPP
#define MULBERRY_EVENT_QUEUE_HPP

#include "time_point.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace mulberry
{

/// Runs events in the order of their times, equal times in the order in which
/// they were added. Thread safety: none.
class event_queue
{
public:
    using event = std::function<void()>;

    time_point now() const { return now_; }
    void at(time_point when, event what);
    void after(duration delay, event what) { at(now_ + delay, what); }
    /// Runs all events up to and including `end`.
    void run_until(time_point end);

private:
    time_point now_{};
    std::uint64_t added_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, event> events_;
};

} // namespace mulberry

#endif
