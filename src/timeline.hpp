/// The timeline of this VM: its recent events, with timestamps by which the
/// events of all VMs can be merged in causal order.
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

/// A timestamp of a hybrid logical clock: wall-clock milliseconds, then a
/// counter. A stamp made after another stamp was observed compares greater than
/// the observed stamp, even if the wall clocks of the two VMs disagree. See
/// Kulkarni et al., "Logical Physical Clocks", 2014.
struct causal_stamp
{
    std::uint64_t wall_ms = 0;
    std::uint32_t count = 0;

    /// Returns WALL_MS.COUNT in fixed width, so that the texts sort in the same
    /// order as the stamps.
    std::string str() const;
    friend auto operator<=>(causal_stamp const&, causal_stamp const&) = default;
};
/// Returns nullopt if `text` does not have the form of causal_stamp::str().
std::optional<causal_stamp> parse_causal_stamp(std::string_view text);

/// Hybrid logical clock of this VM. Thread safe.
class causal_clock
{
public:
    /// `wall_ms` returns the wall clock in milliseconds since the Unix epoch.
    explicit causal_clock(std::function<std::uint64_t()> wall_ms);
    /// Returns a stamp greater than all stamps made or observed so far.
    causal_stamp next();
    /// Advances the clock to a stamp received with a message. A stamp more than
    /// one minute ahead of this VM's wall clock is ignored.
    void observe(causal_stamp const& received);

private:
    std::function<std::uint64_t()> wall_ms_;
    std::mutex mutex_;
    causal_stamp last_;
};

/// Immutable value.
struct timeline_event
{
    /// Counts from 1, without gaps, in each incarnation of a VM.
    std::uint64_t number = 0;
    causal_stamp stamp;
    std::string part;
    std::string kind;
    std::string text;
    friend bool operator==(timeline_event const&,
                           timeline_event const&) = default;
};

/// Keeps the newest events, at most `capacity`. Thread safe.
class timeline
{
public:
    /// `clock` must outlive this object.
    timeline(causal_clock& clock, std::size_t capacity);
    void add(std::string part, std::string kind, std::string text);
    /// Returns at most `limit` events with a number above `after`, oldest
    /// first.
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
