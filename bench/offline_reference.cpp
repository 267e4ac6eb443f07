#include "offline_reference.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>

namespace mulberry
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr std::size_t not_again = std::numeric_limits<std::size_t>::max();

std::vector<std::size_t> next_uses(trial_trace const& trace)
{
    std::vector<std::size_t> next(trace.requests.size(), not_again);
    std::unordered_map<std::size_t, std::size_t> seen;
    for (std::size_t i = trace.requests.size(); i-- > 0;)
    {
        auto const [at, first] = seen.try_emplace(trace.requests[i].adapter, i);
        if (!first)
            next[i] = std::exchange(at->second, i);
    }
    return next;
}

void count_loads(deployment_size const& size, trial_trace const& trace,
                 trial_result& result)
{
    auto const next = next_uses(trace);
    std::size_t const slots = size.workers * size.adapter_slots;
    std::unordered_map<std::size_t, std::size_t> held;
    std::set<std::pair<std::size_t, std::size_t>> by_next_use;
    for (std::size_t i = 0; i < trace.requests.size(); ++i)
    {
        std::size_t const adapter = trace.requests[i].adapter;
        bool const measured = trace.requests[i].at >= trace.measured_from;
        result.requests += measured ? 1 : 0;
        auto const at = held.find(adapter);
        if (at != held.end())
            by_next_use.erase({at->second, adapter});
        else
            result.loads += measured ? 1 : 0;
        if (at == held.end() && held.size() == slots)
        {
            auto const last = std::prev(by_next_use.end());
            held.erase(last->second);
            by_next_use.erase(last);
            result.evictions += measured ? 1 : 0;
        }
        held[adapter] = next[i];
        by_next_use.emplace(next[i], adapter);
    }
}

double packed_efficiency(deployment_size const& size, trial_trace const& trace)
{
    std::vector<std::pair<time_point, int>> changes;
    for (trace_request const& one : trace.requests)
    {
        changes.emplace_back(one.at, 1);
        changes.emplace_back(one.at + service_time(one.tokens, true), -1);
    }
    std::sort(changes.begin(), changes.end());
    double busy = 0;
    double open = 0;
    long running = 0;
    time_point since = trace.measured_from;
    auto const slots = static_cast<long>(size.batch_slots);
    for (auto const& [when, change] : changes)
    {
        time_point const until = std::min(when, trace.end);
        if (until > since)
        {
            double const passed = seconds(until - since).count();
            long const workers = (running + slots - 1) / slots;
            busy += passed * static_cast<double>(running);
            open += passed * static_cast<double>(workers * slots);
            since = until;
        }
        running += change;
    }
    return open > 0 ? busy / open : 0;
}

} // namespace

trial_result offline_reference(deployment_size const& size,
                               trial_trace const& trace)
{
    trial_result result;
    result.policy = "offline";
    count_loads(size, trace, result);
    double const load_seconds = static_cast<double>(size.store.loads_at_once) /
                                size.store.loads_per_second;
    result.stall_share = static_cast<double>(result.loads) /
                         static_cast<double>(result.requests);
    result.stall_seconds = static_cast<double>(result.loads) * load_seconds;
    result.stall_p99 = result.stall_share > 0.01 ? load_seconds : 0;
    result.batch_efficiency = packed_efficiency(size, trace);
    std::vector<double> answers;
    for (trace_request const& one : trace.requests)
        if (one.at >= trace.measured_from)
            answers.push_back(seconds(service_time(one.tokens, true)).count());
    result.answer_p50 = quantile(answers, 0.5);
    result.answer_p99 = quantile(answers, 0.99);
    return result;
}

} // namespace mulberry
