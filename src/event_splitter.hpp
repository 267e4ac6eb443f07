/// Splits a stream of server-sent events at event boundaries.
#ifndef MULBERRY_EVENT_SPLITTER_HPP
#define MULBERRY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Returns complete events only, byte for byte, and tracks the id of the last
/// one. Failure: a worker dies in the middle of an event; its first half is
/// passed on, and the caller reads what another worker sends next as the second
/// half. Thread safety: none.
class event_splitter
{
public:
    /// Appends received bytes. Returns the bytes of the events that are now
    /// complete; may be empty. Takes time linear in `bytes`.
    std::string feed(std::string_view bytes);
    /// Starts to read another worker's answer: discards the bytes of an
    /// incomplete event.
    void begin_answer();
    /// Returns the bytes behind the last event and forgets them. Precondition:
    /// not is_within_event().
    std::string take_rest();

    /// Whether an event has begun and not ended. Empty lines and comments
    /// between events belong to none.
    bool is_within_event() const;
    /// Bytes received behind the last complete event.
    std::size_t incomplete_bytes() const { return incomplete_.size(); }
    /// Whether an event was completed since begin_answer().
    bool answer_has_events() const { return answer_has_events_; }
    /// Id of the last complete event that had a numeric id.
    std::optional<std::uint64_t> last_id() const { return last_id_; }
    /// Whether last_id() tells all events that were returned: the last one
    /// had an id, or there was none.
    bool can_resume() const { return !ends_without_id_; }

private:
    void read_line(std::string_view line);
    void end_event();

    std::string incomplete_;
    /// Offset in incomplete_ of the line that is being received.
    std::size_t line_begin_ = 0;
    bool after_carriage_return_ = false;
    /// The current event has a line that is no comment.
    bool event_begun_ = false;
    bool event_has_data_ = false;
    std::optional<std::uint64_t> event_id_;
    std::optional<std::uint64_t> last_id_;
    bool ends_without_id_ = false;
    bool answer_has_events_ = false;
};

} // namespace mulberry

#endif
