#include "wait_breakdown.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mulberry
{
namespace
{

std::size_t index_of(wait_cause cause)
{
    return static_cast<std::size_t>(cause);
}

} // namespace

std::string_view to_string(wait_cause cause)
{
    switch (cause)
    {
    case wait_cause::allotment:
        return "allotment";
    case wait_cause::owner_grant:
        return "owner_grant";
    case wait_cause::adapter_load:
        return "adapter_load";
    case wait_cause::batch_slot:
        return "batch_slot";
    case wait_cause::worker_limit:
        return "worker_limit";
    case wait_cause::retry:
        return "retry";
    }
    return "";
}

void wait_breakdown::begin(wait_cause cause, time_point now)
{
    end(now);
    waiting_ = true;
    cause_ = cause;
    since_ = now;
}

void wait_breakdown::end(time_point now)
{
    if (waiting_)
        sums_.at(index_of(cause_)) += now - since_;
    waiting_ = false;
}

void wait_breakdown::add(wait_cause cause, duration waited)
{
    sums_.at(index_of(cause)) += waited;
}

duration wait_breakdown::waited(wait_cause cause, time_point now) const
{
    duration const sum = sums_.at(index_of(cause));
    return waiting_ && cause_ == cause ? sum + (now - since_) : sum;
}

std::string wait_breakdown::text(time_point now) const
{
    std::string text;
    for (wait_cause const cause : all_wait_causes)
    {
        auto const ms =
            std::chrono::floor<std::chrono::milliseconds>(waited(cause, now))
                .count();
        if (ms > 0)
            text += fmt::format("{}{}:{}", text.empty() ? "" : ",",
                                to_string(cause), ms);
    }
    return text;
}

void wait_histograms::add(wait_breakdown const& waits, time_point now)
{
    for (wait_cause const cause : all_wait_causes)
    {
        duration const waited = waits.waited(cause, now);
        if (waited <= duration(0))
            continue;
        double const seconds = std::chrono::duration<double>(waited).count();
        histogram& into = by_cause_.at(index_of(cause));
        auto const bucket =
            std::lower_bound(bounds.begin(), bounds.end(), seconds);
        ++into.counts.at(
            static_cast<std::size_t>(std::distance(bounds.begin(), bucket)));
        into.sum += seconds;
    }
}

std::string wait_histograms::text(std::string_view name) const
{
    std::string text;
    for (wait_cause const cause : all_wait_causes)
    {
        histogram const& from = by_cause_.at(index_of(cause));
        std::uint64_t total = 0;
        for (std::size_t index = 0; index < from.counts.size(); ++index)
        {
            total += from.counts.at(index);
            text += fmt::format("{}_bucket{{cause=\"{}\",le=\"{}\"}} {}\n",
                                name, to_string(cause),
                                index < bounds.size()
                                    ? fmt::format("{}", bounds.at(index))
                                    : "+Inf",
                                total);
        }
        text += fmt::format("{0}_sum{{cause=\"{1}\"}} {2}\n"
                            "{0}_count{{cause=\"{1}\"}} {3}\n",
                            name, to_string(cause), from.sum, total);
    }
    return text;
}

} // namespace mulberry
