#include "stream_row.hpp"

#include "placement.hpp"
#include "row_json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Longer than any stream.
constexpr std::uint64_t max_left_ms = 3'600'000;

} // namespace

std::string stream_row_key(request_id const& stream, service_id const& service)
{
    return fmt::format("{:016x}",
                       stable_hash(service.str() + "/" + stream.str()));
}

std::string stream_row_text(stream_record const& record, time_point now)
{
    duration const left = std::max<duration>(record.until - now, duration(0));
    Json::Value json;
    json["left_ms"] =
        Json::UInt64(std::chrono::ceil<milliseconds>(left).count());
    json["service"] = record.service.str();
    json["software"] = record.software.str();
    json["stream"] = record.stream.str();
    return to_row_text(json);
}

std::optional<stream_record> parse_stream_row(std::string const& text,
                                              time_point now)
{
    auto const json = parse_row_text(text);
    if (!json)
        return std::nullopt;
    auto const stream = text_member(*json, "stream");
    auto const service = text_member(*json, "service");
    auto const software = text_member(*json, "software");
    auto const left_ms = number_member(*json, "left_ms");
    if (!stream || !service || !software || !left_ms)
        return std::nullopt;
    return stream_record{request_id(*stream), service_id(*service),
                         software_version(*software),
                         now + milliseconds(std::min(*left_ms, max_left_ms))};
}

} // namespace mulberry
