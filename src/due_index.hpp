/// A timer index: keys with the time at which each is due, the earliest first.
#ifndef MULBERRY_DUE_INDEX_HPP
#define MULBERRY_DUE_INDEX_HPP

#include "time_point.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace mulberry
{

/// Holds at most one time per key, so that a tick costs O(log n) per key that
/// is due instead of a scan of all keys. Thread safety: none.
template <class Key>
class due_index
{
public:
    /// Sets or replaces the key's time; `never` removes the key.
    void set(Key const& key, time_point due)
    {
        erase(key);
        if (due == never)
            return;
        times_.emplace(key, due);
        order_.emplace(due, key);
    }

    void erase(Key const& key)
    {
        auto const found = times_.find(key);
        if (found == times_.end())
            return;
        order_.erase({found->second, key});
        times_.erase(found);
    }

    /// Removes and returns the earliest key that is due by `now`, if any.
    std::optional<Key> pop(time_point now)
    {
        if (order_.empty() || order_.begin()->first > now)
            return std::nullopt;
        Key const key = order_.begin()->second;
        erase(key);
        return key;
    }

    /// The earliest time at which a key is due, if any.
    std::optional<time_point> next() const
    {
        if (order_.empty())
            return std::nullopt;
        return order_.begin()->first;
    }

private:
    std::unordered_map<Key, time_point> times_;
    std::set<std::pair<time_point, Key>> order_;
};

} // namespace mulberry

#endif
