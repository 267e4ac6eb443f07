/// An engine's cache of prompt prefixes. The cache's events become visible
/// after a delay, and some of them are lost.
#ifndef MULBERRY_PREFIX_CACHE_HPP
#define MULBERRY_PREFIX_CACHE_HPP

#include "token_bucket.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>

namespace mulberry::standins
{

struct prefix_settings
{
    std::size_t slots = 64;
    std::chrono::milliseconds event_lag{200};
    /// One of every `lose_every` events is lost; 0 loses none.
    std::uint64_t lose_every = 10;
};

/// Not thread safe; the caller passes the time, which must not decrease.
class prefix_cache
{
public:
    explicit prefix_cache(prefix_settings settings);
    /// Marks a prefix as used and caches the prefix, evicting the least
    /// recently used prefix if the cache is full. Returns whether the prefix
    /// was already cached.
    bool use(std::string const& prefix, steady_time now);
    void clear();
    /// Returns {"events": [...]}: the events numbered above `after` that are at
    /// least `event_lag` old.
    std::string events(std::uint64_t after, steady_time now) const;

private:
    struct event
    {
        std::uint64_t number;
        steady_time at;
        bool stored;
        std::string prefix;
    };

    void publish(bool stored, std::string const& prefix, steady_time now);

    prefix_settings settings_;
    /// Most recently used first; a linear search suffices for a few dozen.
    std::list<std::string> prefixes_;
    std::uint64_t last_number_ = 0;
    std::deque<event> events_;
};

} // namespace mulberry::standins

#endif
