#include "batch_scheduler.hpp"

#include <algorithm>

namespace mulberry::standins
{

batch_scheduler::batch_scheduler(batch_settings settings, prefill_time prefill)
    : settings_(settings), prefill_(std::move(prefill))
{
}

bool batch_scheduler::admit(job_id job, int priority, std::size_t tokens)
{
    if (running_.size() + waiting_.size() >=
        settings_.slots + settings_.queue_limit)
        return false;
    waiting_.emplace(std::pair(-priority, job), tokens);
    return true;
}

void batch_scheduler::remove(job_id job)
{
    std::erase_if(waiting_, [job](auto const& waiting)
                  { return waiting.first.second == job; });
    std::erase_if(running_, [job](running_job const& running)
                  { return running.job == job; });
}

void batch_scheduler::clear()
{
    waiting_.clear();
    running_.clear();
}

std::vector<batch_step> batch_scheduler::advance(steady_time now)
{
    std::vector<batch_step> steps;
    fill_slots(now, steps);
    if (held_)
        return steps;
    generate_tokens(now, steps);
    fill_slots(now, steps);
    return steps;
}

void batch_scheduler::fill_slots(steady_time now,
                                 std::vector<batch_step>& steps)
{
    while (running_.size() < settings_.slots && !waiting_.empty())
    {
        auto const next = waiting_.begin();
        job_id const job = next->first.second;
        running_.push_back({job, next->second, 0, now + prefill_(job)});
        steps.push_back({job, 0, 0});
        waiting_.erase(next);
    }
}

void batch_scheduler::generate_tokens(steady_time now,
                                      std::vector<batch_step>& steps)
{
    for (running_job& running : running_)
    {
        std::size_t const from = running.generated;
        // Generates all tokens due since a late wake-up, so that the token
        // rate is kept.
        while (running.due <= now && running.generated < running.tokens)
        {
            ++running.generated;
            running.due += settings_.token_time;
        }
        if (running.generated > from)
            steps.push_back({running.job, from, running.generated});
    }
    std::erase_if(running_, [](running_job const& running)
                  { return running.generated == running.tokens; });
}

std::optional<steady_time> batch_scheduler::next_due() const
{
    if (held_ || running_.empty())
        return std::nullopt;
    return std::min_element(running_.begin(), running_.end(),
                            [](running_job const& a, running_job const& b)
                            { return a.due < b.due; })
        ->due;
}

void batch_scheduler::set_token_time(std::chrono::microseconds token_time)
{
    settings_.token_time = token_time;
}

void batch_scheduler::hold(bool held, steady_time now)
{
    held_ = held;
    // Tokens missed during a pause are not generated at once afterwards.
    for (running_job& running : running_)
        running.due = std::max(running.due, now);
}

} // namespace mulberry::standins
