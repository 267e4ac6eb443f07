/// Structured log with one line for each decision about a request and each
/// change of the process's state.
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
    /// Written in whole milliseconds, rounded down.
    log_fields& add(std::string_view name, duration value);
    /// Returns the members of a JSON object, without its braces.
    std::string const& str() const { return text_; }

private:
    void begin(std::string_view name);

    std::string text_;
};

/// Writes log lines at a limited rate. Failure: every request of a burst is
/// rejected and each rejection writes lines, until logging uses the processor
/// time that serving needs. Lines over the rate are left out and counted; the
/// next line that is written carries the count. Notable lines have a token
/// bucket of their own, so that routine lines cannot use up their rate. Thread
/// safety: none; never blocks.
class event_log
{
public:
    /// Writes one line; must not block.
    using writer =
        std::function<void(log_level, std::string_view part,
                           std::string_view event, std::string const& fields)>;

    /// Writes at most `lines_per_second` lines of each of the two classes.
    /// `part` names the component in each line.
    event_log(std::string part, double lines_per_second, writer write);

    /// For events of every request, which exceed the rate first; written at
    /// level info.
    void routine(std::string_view event, log_fields const& fields,
                 time_point now);
    /// For rejected, repeated or failed requests and changes of state; written
    /// at level warning.
    void notable(std::string_view event, log_fields const& fields,
                 time_point now);
    /// Lines left out since the start.
    std::uint64_t lines_left_out() const { return total_lines_left_out_; }

private:
    /// Token bucket that holds at most one second's lines.
    struct token_budget
    {
        double tokens = 0;
        time_point filled_at{};
    };

    /// Refills the bucket and takes one token. Counts a line left out and
    /// returns false if there is none.
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
