/// An engine's cache of prompt prefixes and the events that tell of it, late
/// and with gaps.
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
    /// Every that many-th event is lost; 0 for none.
    std::uint64_t lose_every = 10;
};

/// Not thread safe; the caller brings the time, which never goes back.
class prefix_cache
{
public:
    explicit prefix_cache(prefix_settings settings);
    /// Uses a prefix, which drops the one unused for longest if there is no
    /// room. True if it was cached already.
    bool use(std::string const& prefix, steady_time now);
    void clear();
    /// {"events": [...]} numbered above `after` and old enough to be seen.
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
    /// The latest used first; a few dozen, so a search is cheap.
    std::list<std::string> prefixes_;
    std::uint64_t last_number_ = 0;
    std::deque<event> events_;
};

} // namespace mulberry::standins

#endif
