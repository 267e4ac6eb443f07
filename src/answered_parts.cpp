#include "answered_parts.hpp"

#include <utility>

namespace mulberry
{

void answered_parts::add(request_digest const& part, time_point now)
{
    if (now >= current_until_ || current_.size() >= max_parts_)
    {
        previous_ = std::exchange(current_, {});
        current_until_ = now + generation_;
    }
    current_[part] = now;
}

std::optional<time_point>
answered_parts::answered_at(request_digest const& part) const
{
    for (generation_map const* each : {&current_, &previous_})
        if (auto const found = each->find(part); found != each->end())
            return found->second;
    return std::nullopt;
}

} // namespace mulberry
