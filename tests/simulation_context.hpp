/// Virtual time and random choices, shared by the fakes of a schedule.
#ifndef MULBERRY_SIMULATION_CONTEXT_HPP
#define MULBERRY_SIMULATION_CONTEXT_HPP

#include "dispatch_schedule.hpp"

#include "time_point.hpp"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace mulberry_test
{

using namespace mulberry;
using namespace std::chrono_literals;

/// Probability in percent that an enabled fault occurs at each opportunity.
inline constexpr int fault_percent = 6;
/// No fault occurs after this time.
inline constexpr duration fault_time = 4s;

/// Virtual clock, event queue and random source of one simulated schedule.
class simulation_context
{
public:
    explicit simulation_context(schedule_options const& options)
        : options_(options), random_(options.seed)
    {
    }

    time_point now() const { return now_; }
    std::size_t below(std::size_t bound) { return random_() % bound; }
    duration between(duration min, duration max)
    {
        auto const span = static_cast<std::size_t>((max - min).count());
        return min + duration(below(span + 1));
    }
    /// Decides at random whether an enabled fault occurs now.
    bool fault_occurs(fault which)
    {
        bool const occurs = below(100) < fault_percent;
        return occurs && (options_.faults & which) != 0 &&
               now_ < time_point(fault_time);
    }
    bool enabled(fault which) const { return (options_.faults & which) != 0; }

    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(std::make_pair(now_ + delay, ++last_),
                        std::move(event));
    }
    /// Runs the next event; returns false if none is due by `until`.
    bool step(time_point until)
    {
        if (events_.empty() || events_.begin()->first.first > until)
            return false;
        auto const node = events_.extract(events_.begin());
        now_ = node.key().first;
        node.mapped()();
        return true;
    }

private:
    schedule_options options_;
    std::mt19937_64 random_;
    time_point now_{};
    std::uint64_t last_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
};

} // namespace mulberry_test

#endif
