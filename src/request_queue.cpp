#include "request_queue.hpp"

#include <algorithm>
#include <limits>

namespace mulberry
{
namespace
{

std::size_t priority_index(int priority)
{
    return static_cast<std::size_t>(
        std::clamp(priority, min_priority, max_priority));
}

/// A key that orders later sequence numbers first.
std::uint64_t latest_first(std::uint64_t sequence)
{
    return std::numeric_limits<std::uint64_t>::max() - sequence;
}

} // namespace

queued_request& request_queue::add(queued_request item)
{
    if (item.sequence == 0)
        item.sequence = ++last_sequence_;
    std::uint64_t const sequence = item.sequence;
    model_request const& request = item.request;
    ids_.emplace(request.id, sequence);
    by_priority_.emplace(request.priority, latest_first(sequence));
    by_deadline_.emplace(request.deadline, sequence);
    by_adapter_[request.adapter].insert(sequence);
    ++counts_[priority_index(request.priority)];
    return items_.emplace(sequence, std::move(item)).first->second;
}

std::optional<queued_request> request_queue::extract(request_id const& id)
{
    auto const found = ids_.find(id);
    if (found == ids_.end())
        return std::nullopt;
    auto node = items_.extract(found->second);
    ids_.erase(found);
    queued_request item = std::move(node.mapped());
    model_request const& request = item.request;
    by_priority_.erase({request.priority, latest_first(item.sequence)});
    by_deadline_.erase({request.deadline, item.sequence});
    auto const group = by_adapter_.find(request.adapter);
    group->second.erase(item.sequence);
    if (group->second.empty())
        by_adapter_.erase(group);
    --counts_[priority_index(request.priority)];
    return item;
}

queued_request const* request_queue::lowest_priority() const
{
    if (by_priority_.empty())
        return nullptr;
    return &items_.at(latest_first(by_priority_.begin()->second));
}

std::optional<queued_request> request_queue::extract_expired(time_point now)
{
    if (by_deadline_.empty() || by_deadline_.begin()->first > now)
        return std::nullopt;
    request_id const id = items_.at(by_deadline_.begin()->second).request.id;
    return extract(id);
}

std::size_t request_queue::ahead_of(int priority) const
{
    std::size_t ahead = 0;
    for (std::size_t each = priority_index(priority); each < counts_.size();
         ++each)
        ahead += counts_[each];
    return ahead;
}

std::size_t request_queue::waiting_for(adapter_ref const& adapter) const
{
    auto const found = by_adapter_.find(adapter);
    return found == by_adapter_.end() ? 0 : found->second.size();
}

time_point request_queue::oldest_arrival(adapter_ref const& adapter) const
{
    auto const found = by_adapter_.find(adapter);
    if (found == by_adapter_.end())
        return never;
    return items_.at(*found->second.begin()).request.arrived;
}

std::vector<request_id>
request_queue::ids_waiting_for(adapter_ref const& adapter) const
{
    std::vector<request_id> ids;
    auto const found = by_adapter_.find(adapter);
    if (found == by_adapter_.end())
        return ids;
    for (std::uint64_t const sequence : found->second)
        ids.push_back(items_.at(sequence).request.id);
    return ids;
}

std::vector<request_id> request_queue::all_ids() const
{
    std::vector<request_id> ids;
    ids.reserve(items_.size());
    for (auto const& [sequence, item] : items_)
        ids.push_back(item.request.id);
    return ids;
}

void request_queue::for_each(adapter_ref const& adapter,
                             std::function<void(queued_request&)> const& visit)
{
    auto const found = by_adapter_.find(adapter);
    if (found == by_adapter_.end())
        return;
    for (std::uint64_t const sequence : found->second)
        visit(items_.at(sequence));
}

std::vector<waiting_request> request_queue::select(
    std::function<bool(queued_request const&)> const& wanted) const
{
    std::vector<waiting_request> chosen;
    for (auto const& [sequence, item] : items_)
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
