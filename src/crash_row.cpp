#include "crash_row.hpp"

#include "row_json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace mulberry
{

using std::chrono::milliseconds;

namespace
{

std::uint64_t to_unix_ms(time_point moment, clock_pair const& clock)
{
    auto const at = clock.time_of_day - (clock.now - moment);
    auto const unix_ms =
        std::chrono::floor<milliseconds>(at.time_since_epoch()).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(unix_ms, 0));
}

time_point from_unix_ms(std::uint64_t unix_ms, clock_pair const& clock)
{
    auto const today =
        std::chrono::floor<milliseconds>(clock.time_of_day.time_since_epoch());
    auto const today_ms =
        static_cast<std::uint64_t>(std::max<std::int64_t>(today.count(), 0));
    std::uint64_t const age = today_ms - std::min(unix_ms, today_ms);
    return clock.now - milliseconds(static_cast<std::int64_t>(age));
}

} // namespace

std::string crash_row_key(crash_key const& key)
{
    return fmt::format("{}{}/{}/{}", crash_prefix, key.request.str(),
                       key.crashed.started.value(), key.crashed.worker.str());
}

std::string crash_row_text(crash_observation const& seen,
                           clock_pair const& clock)
{
    Json::Value json;
    json["at_ms"] = Json::UInt64(to_unix_ms(seen.at, clock));
    json["sent_ms"] = Json::UInt64(to_unix_ms(seen.sent_at, clock));
    return to_row_text(json);
}

std::optional<crash_key> parse_crash_key(std::string const& key)
{
    std::string_view rest(key);
    if (!rest.starts_with(crash_prefix))
        return std::nullopt;
    rest.remove_prefix(std::string_view(crash_prefix).size());
    auto const digest_end = rest.find('/');
    auto const start_end = rest.find('/', digest_end + 1);
    if (digest_end == std::string_view::npos ||
        start_end == std::string_view::npos)
        return std::nullopt;
    std::string_view const digits =
        rest.substr(digest_end + 1, start_end - digest_end - 1);
    std::uint64_t started = 0;
    auto const [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), started);
    if (failure != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return crash_key{request_digest(std::string(rest.substr(0, digest_end))),
                     {worker_id(std::string(rest.substr(start_end + 1))),
                      worker_start(started)}};
}

std::optional<crash_observation> parse_crash_row(std::string const& key,
                                                 std::string const& text,
                                                 clock_pair const& clock)
{
    auto const parsed = parse_crash_key(key);
    auto const json = parse_row_text(text);
    if (!parsed || !json)
        return std::nullopt;
    auto const at_ms = number_member(*json, "at_ms");
    auto const sent_ms = number_member(*json, "sent_ms");
    if (!at_ms || !sent_ms)
        return std::nullopt;
    return crash_observation{parsed->request, parsed->crashed,
                             from_unix_ms(*sent_ms, clock),
                             from_unix_ms(*at_ms, clock)};
}

} // namespace mulberry
