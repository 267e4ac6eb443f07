/// A numbered, bounded log of events kept as JSON text.
#ifndef MULBERRY_EVENT_LOG_HPP
#define MULBERRY_EVENT_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace mulberry::standins
{

/// Not thread safe. The oldest event is dropped when the log is full.
class event_log
{
public:
    /// Maximum number of events in one page.
    static constexpr std::size_t page_limit = 10'000;

    explicit event_log(std::size_t capacity = 1'000'000);
    /// Appends an event given as the members of a JSON object without braces.
    /// Returns the event's number; numbers start at 1.
    std::uint64_t append(std::string_view members);
    /// Returns {"events": [...]}: up to page_limit events numbered above
    /// `after`.
    std::string page(std::uint64_t after) const;

private:
    std::size_t capacity_;
    std::uint64_t last_number_ = 0;
    std::deque<std::string> events_;
};

} // namespace mulberry::standins

#endif
