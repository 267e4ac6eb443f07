/// Delivers one answer gap-free and once over several connections.
#ifndef MULBERRY_ANSWER_RELAY_HPP
#define MULBERRY_ANSWER_RELAY_HPP

#include "attempt_event.hpp"
#include "safeguards.hpp"
#include "time_point.hpp"

#include <cstdint>

namespace mulberry
{

/// Tracks the place reached in one answer. Used by the entry VM and by the
/// owner alike. Thread safety: none.
class answer_relay
{
public:
    /// `checks` outlives this object. `progress_timeout` is how long a stream
    /// may be silent.
    answer_relay(safeguards const& checks, duration progress_timeout,
                 time_point now);

    enum class verdict
    {
        /// In its place: pass it on.
        pass,
        /// Delivered before (a resumed stream overlaps): drop it.
        duplicate,
        /// An event is missing: the connection is of no more use; resume at
        /// next_offset().
        gap
    };
    /// `last`: the event says that the answer ends with it.
    verdict on_event(std::uint64_t offset, bool last, time_point now);

    std::uint64_t next_offset() const { return next_; }
    bool begun() const { return next_ > 0; }
    /// Whether an event that passed was the answer's last.
    bool end_seen() const { return end_seen_; }
    /// The moment at which silence means that the connection is dead, although
    /// nothing said so.
    time_point progress_deadline() const { return progress_deadline_; }
    /// A new connection was opened to go on.
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
