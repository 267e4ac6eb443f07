#include "unanswered_orders.hpp"

#include <algorithm>
#include <iterator>

namespace mulberry
{

void unanswered_orders::on_sent(worker_order const& order, time_point now)
{
    std::vector<entry>& same_number = orders_[order.expected_sequence];
    auto found = std::find_if(same_number.begin(), same_number.end(),
                              [&order](entry const& each)
                              { return each.order == order; });
    if (found == same_number.end())
    {
        ++count_;
        found = same_number.insert(found, entry{order, 0, now});
    }
    ++found->unanswered;
    found->sent_at = now;
    if (count_ < expire_at_count_)
        return;
    expire(now);
    expire_at_count_ = std::max(min_expired_count, 2 * count_);
}

void unanswered_orders::on_answered(worker_order const& order)
{
    auto const same_number = orders_.find(order.expected_sequence);
    if (same_number == orders_.end())
        return;
    auto const found = std::find_if(
        same_number->second.begin(), same_number->second.end(),
        [&order](entry const& each) { return each.order == order; });
    if (found == same_number->second.end() || --found->unanswered > 0)
        return;
    --count_;
    same_number->second.erase(found);
    if (same_number->second.empty())
        orders_.erase(same_number);
}

void unanswered_orders::expire(time_point now)
{
    for (auto& [number, entries] : orders_)
        count_ -=
            std::erase_if(entries, [&](entry const& each)
                          { return each.sent_at + limits_.retention <= now; });
    std::erase_if(orders_,
                  [](auto const& each) { return each.second.empty(); });
}

std::size_t unanswered_orders::reserved_slots(std::uint64_t sequence,
                                              time_point now) const
{
    auto const is_load = [](entry const& each)
    { return each.order.kind == order_kind::load; };
    std::size_t reserved = 0;
    for (std::uint64_t number = sequence;; ++number)
    {
        auto const found = orders_.find(number);
        if (found == orders_.end())
            return reserved;
        auto const& entries = found->second;
        bool const recent = std::any_of(entries.begin(), entries.end(),
                                        [&](entry const& each)
                                        { return is_recent(each, now); });
        if (!recent && number != sequence)
            return reserved;
        reserved += std::any_of(entries.begin(), entries.end(), is_load);
    }
}

bool unanswered_orders::may_be_displaced(worker_order const& order) const
{
    auto const same_number = orders_.find(order.expected_sequence);
    return same_number != orders_.end() &&
           std::any_of(same_number->second.begin(), same_number->second.end(),
                       [&order](entry const& each)
                       { return each.order != order; });
}

} // namespace mulberry
