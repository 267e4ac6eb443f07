#include "forwarded_call.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr char head_type = 'H';
constexpr char body_type = 'B';
constexpr char end_type = 'E';
constexpr char failure_type = 'F';
constexpr std::size_t prefix_bytes = 5;
/// Above anything that a worker's connection delivers at once.
constexpr std::size_t max_frame_bytes = 1UL * 1024 * 1024;
constexpr std::string_view framed_text = "framed";
constexpr unsigned bits_per_byte = 8;
constexpr milliseconds max_timeout{60'000};
constexpr std::int64_t min_status = 100;
constexpr std::int64_t max_status = 999;

std::string frame(char type, std::string_view content)
{
    std::string text(1, type);
    auto const size = static_cast<std::uint32_t>(content.size());
    for (int byte = 3; byte >= 0; --byte)
        text += static_cast<char>(size >> (bits_per_byte * unsigned(byte)));
    text += content;
    return text;
}

std::size_t content_size(std::string_view buffer)
{
    std::size_t size = 0;
    for (std::size_t index = 1; index < prefix_bytes; ++index)
        size =
            size << bits_per_byte | static_cast<unsigned char>(buffer[index]);
    return size;
}

std::optional<std::int64_t> number_of(std::string_view text)
{
    std::int64_t number = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    bool const whole =
        failure == std::errc() && end == text.data() + text.size();
    return whole && number >= 0 ? std::optional(number) : std::nullopt;
}

milliseconds bounded(std::int64_t ms)
{
    return milliseconds(std::min<std::int64_t>(ms, max_timeout.count()));
}

std::string_view take_line(std::string_view& text)
{
    std::string_view const line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    return line;
}

/// Reads the lines of a head frame; returns nullopt if one is malformed.
std::optional<std::pair<int, http_headers>> parse_head(std::string_view text)
{
    auto const status = number_of(take_line(text));
    if (!status || *status < min_status || *status > max_status)
        return std::nullopt;
    http_headers headers;
    while (!text.empty())
    {
        std::string_view const line = take_line(text);
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
            return std::nullopt;
        headers.add(std::string(line.substr(0, colon)),
                    std::string(line.substr(colon + 1)));
    }
    return std::pair(static_cast<int>(*status), std::move(headers));
}

std::optional<call_stage> parse_stage(std::string_view text)
{
    auto const number = number_of(text);
    if (!number || *number > static_cast<int>(call_stage::answering))
        return std::nullopt;
    return static_cast<call_stage>(*number);
}

} // namespace

outgoing_request encode_forwarded_call(forwarded_call const& call,
                                       std::string const& host)
{
    return {fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nWorker: {}\r\n"
                        "Worker-Address: {}:{}\r\nRequest: {}\r\nFrom: {}\r\n"
                        "Connect-Timeout-Ms: {}\r\nMax-Idle-Ms: {}\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        forwarded_call_path, host, call.worker.str(),
                        call.to.ip, call.to.port, call.request.str(),
                        call.from.str(), call.options.connect_timeout.count(),
                        call.options.max_idle.count(), call.outgoing.size(),
                        call.outgoing.head),
            call.outgoing.body};
}

std::optional<forwarded_call> decode_forwarded_call(http_request received)
{
    auto const text = [&received](char const* name)
    { return received.headers.find(name).value_or(""); };
    auto const address = parse_address(text("Worker-Address"));
    auto const connect_timeout = number_of(text("Connect-Timeout-Ms"));
    auto const max_idle = number_of(text("Max-Idle-Ms"));
    if (received.method != "POST" || text("Worker").empty() || !address ||
        !connect_timeout || !max_idle || received.body.empty())
        return std::nullopt;
    return forwarded_call{worker_id(text("Worker")),
                          *address,
                          request_id(text("Request")),
                          vm_id(text("From")),
                          {bounded(*connect_timeout), bounded(*max_idle)},
                          std::move(received.body)};
}

std::string encode_head_frame(int status, http_headers const& headers)
{
    std::string content = std::to_string(status) + "\n";
    for (auto const& [name, value] : headers.fields())
        content.append(name).append(":").append(value).append("\n");
    return frame(head_type, content);
}

std::string encode_body_frame(std::string_view bytes)
{
    return frame(body_type, bytes);
}

std::string encode_end_frame(bool framed)
{
    return frame(end_type, framed ? framed_text : "");
}

std::string encode_failure_frame(call_stage stage, std::string_view reason)
{
    return frame(failure_type,
                 fmt::format("{}\n{}", static_cast<int>(stage), reason));
}

bool answer_frame_reader::feed(std::string_view bytes,
                               exchange_observer& observer)
{
    buffer_ += bytes;
    std::string_view rest = buffer_;
    bool sound = true;
    while (sound && !stopped_ && rest.size() >= prefix_bytes)
    {
        std::size_t const size = content_size(rest);
        if (size > max_frame_bytes || complete_)
            return false;
        if (rest.size() < prefix_bytes + size)
            break;
        sound =
            read_frame(rest.front(), rest.substr(prefix_bytes, size), observer);
        rest.remove_prefix(prefix_bytes + size);
    }
    buffer_.erase(0, buffer_.size() - rest.size());
    return sound;
}

bool answer_frame_reader::read_frame(char type, std::string_view content,
                                     exchange_observer& observer)
{
    if (type == body_type && has_head_)
    {
        observer.on_body(content);
        return true;
    }
    if (type == head_type && !has_head_)
    {
        auto head = parse_head(content);
        if (!head)
            return false;
        has_head_ = true;
        observer.on_head(head->first, std::move(head->second));
        return true;
    }
    if (type == end_type && has_head_)
    {
        complete_ = true;
        observer.on_end(content == framed_text);
        return true;
    }
    auto const stage =
        type == failure_type ? parse_stage(take_line(content)) : std::nullopt;
    if (!stage)
        return false;
    complete_ = true;
    observer.on_failure(*stage, std::string(content));
    return true;
}

} // namespace mulberry
