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
    /// complete; may be empty.
    std::string feed(std::string_view bytes);
    /// Discards the bytes of an incomplete event, before a stream is resumed at
    /// another worker.
    void discard_incomplete() { incomplete_.clear(); }
    /// Bytes received of an incomplete event.
    std::size_t incomplete_bytes() const { return incomplete_.size(); }
    /// Id of the last complete event that had a numeric id.
    std::optional<std::uint64_t> last_id() const { return last_id_; }

private:
    void read_ids(std::string_view events);

    std::string incomplete_;
    std::optional<std::uint64_t> last_id_;
};

} // namespace mulberry

#endif
