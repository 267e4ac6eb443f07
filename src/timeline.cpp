#include "timeline.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace mulberry
{
namespace
{

/// Bounds how far a VM whose wall clock is wrong can advance the clocks of all
/// other VMs.
constexpr std::uint64_t max_clock_skew_ms = 60'000;

template <class Number>
bool parse_number(std::string_view text, Number& value)
{
    auto const* end = text.data() + text.size();
    auto const [parsed_end, fault] = std::from_chars(text.data(), end, value);
    return fault == std::errc{} && parsed_end == end;
}

} // namespace

std::string causal_stamp::str() const
{
    char text[32];
    std::snprintf(text, sizeof text, "%014llu.%06u",
                  static_cast<unsigned long long>(wall_ms), count);
    return text;
}

std::optional<causal_stamp> parse_causal_stamp(std::string_view text)
{
    auto const dot = text.find('.');
    causal_stamp stamp;
    if (dot == std::string_view::npos ||
        !parse_number(text.substr(0, dot), stamp.wall_ms) ||
        !parse_number(text.substr(dot + 1), stamp.count))
        return std::nullopt;
    return stamp;
}

causal_clock::causal_clock(std::function<std::uint64_t()> wall_ms)
    : wall_ms_(std::move(wall_ms))
{
}

causal_stamp causal_clock::next()
{
    std::lock_guard const lock(mutex_);
    std::uint64_t const wall = wall_ms_();
    if (wall > last_.wall_ms)
        last_ = causal_stamp{wall, 0};
    else
        ++last_.count;
    return last_;
}

void causal_clock::observe(causal_stamp const& received)
{
    std::lock_guard const lock(mutex_);
    if (received.wall_ms > wall_ms_() + max_clock_skew_ms)
        return;
    last_ = std::max(last_, received);
}

timeline::timeline(causal_clock& clock, std::size_t capacity)
    : clock_(&clock), capacity_(capacity)
{
}

void timeline::add(std::string part, std::string kind, std::string text)
{
    std::lock_guard const lock(mutex_);
    events_.push_back({++last_number_, clock_->next(), std::move(part),
                       std::move(kind), std::move(text)});
    if (events_.size() > capacity_)
        events_.pop_front();
}

std::vector<timeline_event> timeline::read(std::uint64_t after,
                                           std::size_t limit) const
{
    std::lock_guard const lock(mutex_);
    auto const first =
        std::upper_bound(events_.begin(), events_.end(), after,
                         [](std::uint64_t number, timeline_event const& event)
                         { return number < event.number; });
    auto const remaining = static_cast<std::size_t>(events_.end() - first);
    return {first,
            first + static_cast<std::ptrdiff_t>(std::min(remaining, limit))};
}

} // namespace mulberry
