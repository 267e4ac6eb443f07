/// One structured line for each decision that touches a request or changes
/// what the process believes.
#ifndef MULBERRY_EVENT_LOG_HPP
#define MULBERRY_EVENT_LOG_HPP

#include "log.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace mulberry
{

/// The fields of one line, in the order added. Value.
class log_fields
{
public:
    log_fields& add(std::string_view name, std::string_view value);
    log_fields& add(std::string_view name, std::int64_t value);
    log_fields& add(std::string_view name, std::uint64_t value);
    log_fields& add(std::string_view name, int value);
    /// In milliseconds.
    log_fields& add(std::string_view name, duration value);
    /// The members of a JSON object, without its braces.
    std::string const& str() const { return text_; }

private:
    void begin(std::string_view name);

    std::string text_;
};

/// Failure: every request of a burst is rejected and each rejection writes
/// lines, until logging takes the processor time that serving needs. Lines
/// over the rate are left out and counted, and the count is told with the next
/// line that is written. Warnings are given a share of their own, so that
/// routine lines never crowd them out. Thread safety: none; never blocks.
class event_log
{
public:
    /// `write` takes the line; it must not block.
    using writer =
        std::function<void(log_level, std::string_view part,
                           std::string_view event, std::string const& fields)>;

    /// At most `lines_per_second` lines of each of the two classes.
    event_log(std::string part, double lines_per_second, writer write);

    /// What happens on every request; left out first.
    void routine(std::string_view event, log_fields const& fields,
                 time_point now);
    /// A request that was rejected, repeated or failed, or a belief changed.
    void notable(std::string_view event, log_fields const& fields,
                 time_point now);
    std::uint64_t lines_left_out() const { return total_lines_left_out_; }

private:
    struct token_budget
    {
        double tokens = 0;
        time_point filled_at{};
    };

    bool try_take(token_budget& from, time_point now);
    void write(log_level level, std::string_view event,
               log_fields const& fields);

    std::string part_;
    double rate_;
    writer write_;
    token_budget routine_;
    token_budget notable_;
    std::uint64_t lines_left_out_ = 0;
    std::uint64_t total_lines_left_out_ = 0;
};

} // namespace mulberry

#endif
