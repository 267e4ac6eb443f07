/// Encodes crash observations as rows of the store.
#ifndef MULBERRY_CRASH_ROW_HPP
#define MULBERRY_CRASH_ROW_HPP

#include "crash_replicator.hpp"
#include "time_point.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace mulberry
{

inline constexpr char const* crash_prefix = "crash/";

/// One moment as monotonic time and as time of day. Rows store the time of day,
/// since monotonic clocks do not continue after a restart. An error of the time
/// of day shifts the end of a quarantine by as much.
struct clock_pair
{
    time_point now{};
    std::chrono::system_clock::time_point time_of_day;
};

/// crash/DIGEST/STARTED/WORKER
std::string crash_row_key(crash_key const& key);
/// {"at_ms": UNIX, "sent_ms": UNIX}, in milliseconds since the Unix epoch.
std::string crash_row_text(crash_observation const& seen,
                           clock_pair const& clock);

/// Returns nullopt if `key` is not the key of a crash row.
std::optional<crash_key> parse_crash_key(std::string const& key);
/// Returns nullopt if `key` or `text` is malformed. Times in the future are
/// replaced by the present time.
std::optional<crash_observation> parse_crash_row(std::string const& key,
                                                 std::string const& text,
                                                 clock_pair const& clock);

} // namespace mulberry

#endif
