#include "event_log.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mulberry::standins
{

event_log::event_log(std::size_t capacity) : capacity_(capacity) {}

std::uint64_t event_log::append(std::string_view members)
{
    ++last_number_;
    events_.push_back(
        fmt::format(R"({{"number":{},{}}})", last_number_, members));
    if (events_.size() > capacity_)
        events_.pop_front();
    return last_number_;
}

std::string event_log::page(std::uint64_t after) const
{
    std::uint64_t const dropped = last_number_ - events_.size();
    std::uint64_t const wanted = std::max(after, dropped) - dropped;
    auto const first = static_cast<std::size_t>(
        std::min<std::uint64_t>(wanted, events_.size()));
    std::size_t const last = std::min(first + page_limit, events_.size());
    std::string text = R"({"events":[)";
    for (std::size_t place = first; place < last; ++place)
    {
        if (place != first)
            text += ',';
        text += events_[place];
    }
    return text + "]}";
}

} // namespace mulberry::standins
