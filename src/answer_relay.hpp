/// Reassembles one streamed answer from several connections, without gaps or
/// duplicates.
#ifndef MULBERRY_ANSWER_RELAY_HPP
#define MULBERRY_ANSWER_RELAY_HPP

#include "attempt_event.hpp"
#include "safeguards.hpp"
#include "time_point.hpp"

#include <cstdint>

namespace mulberry
{

/// Tracks the next expected event of one answer. Used by the VM that the caller
/// is connected to and by the worker's owner. Thread safety: none.
class answer_relay
{
public:
    /// `checks` must outlive this object. `progress_timeout` is the longest
    /// time without a new event before the connection counts as dead.
    answer_relay(safeguards const& checks, duration progress_timeout,
                 time_point now);

    enum class verdict
    {
        /// The next expected event: pass it on.
        pass,
        /// An event that was passed before; drop it. Occurs when a resumed
        /// stream overlaps.
        duplicate,
        /// An event is missing: close the connection and resume at
        /// next_offset().
        gap
    };
    /// Decides what to do with a received event and updates the state. `last`:
    /// the event is marked as the answer's last.
    verdict on_event(std::uint64_t offset, bool last, time_point now);

    std::uint64_t next_offset() const { return next_; }
    /// Whether an event has been passed on.
    bool begun() const { return next_ > 0; }
    /// Whether the answer's last event has been passed on.
    bool end_seen() const { return end_seen_; }
    /// The time at which the connection counts as dead unless a new event
    /// arrives before, even if the transport reports no error.
    time_point progress_deadline() const { return progress_deadline_; }
    /// Restarts the progress timeout after a new connection was opened to
    /// resume the answer.
    void on_reconnect(time_point now);

private:
    safeguards const* checks_;
    duration progress_timeout_;
    std::uint64_t next_ = 0;
    bool end_seen_ = false;
    time_point progress_deadline_;
};

} // namespace mulberry

#endif
