#include "request_queue.hpp"

#include <algorithm>
#include <limits>

namespace mulberry
{
namespace
{

std::size_t level(int priority)
{
    return static_cast<std::size_t>(
        std::clamp(priority, min_priority, max_priority));
}

std::uint64_t latest_first(std::uint64_t place)
{
    return std::numeric_limits<std::uint64_t>::max() - place;
}

} // namespace

queued_request& request_queue::add(queued_request item)
{
    if (item.place == 0)
        item.place = ++last_place_;
    std::uint64_t const place = item.place;
    model_request const& request = item.request;
    ids_.emplace(request.id, place);
    by_priority_.emplace(request.priority, latest_first(place));
    by_deadline_.emplace(request.deadline, place);
    by_adapter_[request.adapter].insert(place);
    ++counts_[level(request.priority)];
    return items_.emplace(place, std::move(item)).first->second;
}

std::optional<queued_request> request_queue::take(request_id const& id)
{
    auto const found = ids_.find(id);
    if (found == ids_.end())
        return std::nullopt;
    auto node = items_.extract(found->second);
    ids_.erase(found);
    queued_request item = std::move(node.mapped());
    model_request const& request = item.request;
    by_priority_.erase({request.priority, latest_first(item.place)});
    by_deadline_.erase({request.deadline, item.place});
    auto const group = by_adapter_.find(request.adapter);
    group->second.erase(item.place);
    if (group->second.empty())
        by_adapter_.erase(group);
    --counts_[level(request.priority)];
    return item;
}

queued_request const* request_queue::least_wanted() const
{
    if (by_priority_.empty())
        return nullptr;
    return &items_.at(latest_first(by_priority_.begin()->second));
}

std::optional<queued_request> request_queue::take_late(time_point now)
{
    if (by_deadline_.empty() || by_deadline_.begin()->first > now)
        return std::nullopt;
    request_id const id = items_.at(by_deadline_.begin()->second).request.id;
    return take(id);
}

std::size_t request_queue::ahead_of(int priority) const
{
    std::size_t ahead = 0;
    for (std::size_t each = level(priority); each < counts_.size(); ++each)
        ahead += counts_[each];
    return ahead;
}

std::size_t request_queue::waiting_for(adapter_ref const& adapter) const
{
    auto const found = by_adapter_.find(adapter);
    return found == by_adapter_.end() ? 0 : found->second.size();
}

time_point request_queue::oldest_for(adapter_ref const& adapter) const
{
    auto const found = by_adapter_.find(adapter);
    if (found == by_adapter_.end())
        return never;
    return items_.at(*found->second.begin()).request.arrived;
}

std::vector<request_id> request_queue::all_for(adapter_ref const& adapter) const
{
    std::vector<request_id> ids;
    auto const found = by_adapter_.find(adapter);
    if (found == by_adapter_.end())
        return ids;
    for (std::uint64_t const place : found->second)
        ids.push_back(items_.at(place).request.id);
    return ids;
}

std::vector<request_id> request_queue::all() const
{
    std::vector<request_id> ids;
    ids.reserve(items_.size());
    for (auto const& [place, item] : items_)
        ids.push_back(item.request.id);
    return ids;
}

void request_queue::for_each(adapter_ref const& adapter,
                             std::function<void(queued_request&)> const& visit)
{
    auto const found = by_adapter_.find(adapter);
    if (found == by_adapter_.end())
        return;
    for (std::uint64_t const place : found->second)
        visit(items_.at(place));
}

std::vector<waiting_request> request_queue::select(
    std::function<bool(queued_request const&)> const& wanted) const
{
    std::vector<waiting_request> chosen;
    for (auto const& [place, item] : items_)
    {
        if (!wanted(item))
            continue;
        model_request const& request = item.request;
        chosen.push_back({request.id, request.adapter, request.priority,
                          request.arrived, request.deadline});
    }
    return chosen;
}

} // namespace mulberry
