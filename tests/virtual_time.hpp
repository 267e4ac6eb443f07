/// A manual clock with scheduled tasks.
#ifndef MULBERRY_TESTS_VIRTUAL_TIME_HPP
#define MULBERRY_TESTS_VIRTUAL_TIME_HPP

#include "time_point.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace mulberry::tests
{

class virtual_time
{
public:
    using task = std::function<void()>;

    time_point now() const { return now_; }

    /// Schedules a task; a time in the past means now. Tasks for the same time
    /// run in the order in which they were scheduled.
    void at(time_point when, task what)
    {
        tasks_.emplace(std::pair(std::max(when, now_), ++last_),
                       std::move(what));
    }

    void after(duration wait, task what) { at(now_ + wait, std::move(what)); }

    /// Advances the clock to `end` and runs all tasks due until then.
    void run_until(time_point end)
    {
        while (!tasks_.empty() && tasks_.begin()->first.first <= end)
        {
            auto const next = tasks_.extract(tasks_.begin());
            now_ = next.key().first;
            next.mapped()();
        }
        now_ = end;
    }

private:
    time_point now_{std::chrono::hours(1)};
    std::uint64_t last_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, task> tasks_;
};

} // namespace mulberry::tests

#endif
