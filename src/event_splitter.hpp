/// Cuts a stream of server-sent events at the ends of events.
#ifndef MULBERRY_EVENT_SPLITTER_HPP
#define MULBERRY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Hands on whole events only, byte for byte, and knows the id of the last.
/// Failure: a worker dies in the middle of an event; the half is passed on,
/// and what another worker sends after it is read as its other half. Thread
/// safety: none.
class event_splitter
{
public:
    /// The bytes of the events that are complete now; may be empty.
    std::string feed(std::string_view bytes);
    /// The bytes of an unfinished event, which are dropped when a stream goes
    /// on elsewhere.
    void discard_incomplete() { incomplete_.clear(); }
    std::size_t incomplete_bytes() const { return incomplete_.size(); }
    std::optional<std::uint64_t> last_id() const { return last_id_; }

private:
    void read_ids(std::string_view events);

    std::string incomplete_;
    std::optional<std::uint64_t> last_id_;
};

} // namespace mulberry

#endif
