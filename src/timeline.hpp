/// The time line: what happened on this VM, stamped so that the events of all
/// VMs merge in causal order.
#ifndef MULBERRY_TIMELINE_HPP
#define MULBERRY_TIMELINE_HPP

#include "ids.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// A stamp of a hybrid logical clock: wall-clock milliseconds, then a count.
/// A stamp made after one was heard is higher than it, also where the wall
/// clocks of two VMs disagree. Source: Kulkarni et al., "Logical Physical
/// Clocks", 2014.
struct causal_stamp
{
    std::uint64_t wall_ms = 0;
    std::uint32_t count = 0;

    /// WALL_MS.COUNT, fixed width, so that texts compare as stamps do.
    std::string str() const;
    friend auto operator<=>(causal_stamp const&, causal_stamp const&) = default;
};
std::optional<causal_stamp> parse_causal_stamp(std::string_view text);

/// Thread safe.
class causal_clock
{
public:
    /// `wall_ms` reads a wall clock.
    explicit causal_clock(std::function<std::uint64_t()> wall_ms);
    /// A stamp higher than all made or heard before.
    causal_stamp next();
    /// Takes in a stamp that came with a message. One that is further ahead of
    /// this VM's wall clock than a minute is not believed.
    void observe(causal_stamp const& heard);

private:
    std::function<std::uint64_t()> wall_ms_;
    std::mutex mutex_;
    causal_stamp last_;
};

/// Immutable value.
struct timeline_event
{
    /// From 1, without gaps, per VM and life of its process.
    std::uint64_t number = 0;
    causal_stamp stamp;
    std::string part;
    std::string kind;
    std::string text;
    friend bool operator==(timeline_event const&,
                           timeline_event const&) = default;
};

/// Keeps the newest events within a bound. Thread safe.
class timeline
{
public:
    /// `clock` outlives this object.
    timeline(causal_clock& clock, std::size_t capacity);
    void add(std::string part, std::string kind, std::string text);
    /// Events with a number above `after`, oldest first, at most `limit`.
    std::vector<timeline_event> read(std::uint64_t after,
                                     std::size_t limit) const;

private:
    causal_clock* clock_;
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t last_number_ = 0;
    std::deque<timeline_event> events_;
};

} // namespace mulberry

#endif
