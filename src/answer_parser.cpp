#include "answer_parser.hpp"

#include <utility>

namespace mulberry
{
namespace
{

/// Workers send one or two; a faulty one may send them without end.
constexpr int max_interim_answers = 16;
constexpr int first_final_status = 200;
constexpr int status_switching_protocols = 101;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr std::string_view start_of_status_line = "HTTP/1.";
constexpr std::string_view optional_white_space = " \t";

constexpr std::string_view versions = "01";
constexpr std::size_t version_at = start_of_status_line.size();
constexpr std::size_t status_at = version_at + 2;
constexpr std::size_t status_end = status_at + 3;

/// Whether the byte may stand there in a status line.
bool is_in_place(char byte, std::size_t at)
{
    if (at < version_at)
        return byte == start_of_status_line[at];
    if (at == version_at)
        return versions.find(byte) != std::string_view::npos;
    if (at < status_at)
        return byte == ' ';
    if (at < status_end)
        return byte >= (at == status_at ? '1' : '0') && byte <= '9';
    return byte == ' ' || byte == '\r' || byte == '\n';
}

/// Results of on_headers_complete().
constexpr int go_on = 0;
constexpr int skip_body = 1;
constexpr int reject = -1;

} // namespace

void answer_head_check::begin()
{
    checked_ = 0;
    at_line_start_ = false;
    is_complete_ = false;
}

bool answer_head_check::feed(std::string_view bytes)
{
    for (; !bytes.empty() && !is_complete_; bytes.remove_prefix(1))
        if (!feed(bytes.front()))
            return false;
    return true;
}

bool answer_head_check::feed(char byte)
{
    if (checked_ <= status_end && !is_in_place(byte, checked_++))
        return false;
    // A line is ended by a line feed, with or without a carriage return.
    is_complete_ = at_line_start_ && byte == '\n';
    bool const folds = at_line_start_ && (byte == ' ' || byte == '\t');
    at_line_start_ = byte == '\n' || (at_line_start_ && byte == '\r');
    return !folds;
}

answer_parser::answer_parser(answer_listener& listener) : listener_(listener)
{
    http_parser_settings_init(&callbacks_);
    callbacks_.on_status = &answer_parser::on_status;
    callbacks_.on_header_field = &answer_parser::on_header_field;
    callbacks_.on_header_value = &answer_parser::on_header_value;
    callbacks_.on_headers_complete = &answer_parser::on_headers_complete;
    callbacks_.on_body = &answer_parser::on_body;
    callbacks_.on_message_complete = &answer_parser::on_message_complete;
    begin();
}

void answer_parser::begin()
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    head_check_.begin();
    forget_headers();
    interim_answers_ = 0;
    has_head_ = false;
    has_joined_heads_ = false;
    complete_ = false;
    excess_bytes_ = 0;
    keeps_alive_ = false;
}

bool answer_parser::feed(std::string_view bytes)
{
    // http_parser takes an execution without bytes for the end.
    while (!bytes.empty() && !complete_)
    {
        if (!head_check_.feed(bytes))
            return false;
        bytes.remove_prefix(http_parser_execute(&parser_, &callbacks_,
                                                bytes.data(), bytes.size()));
        if (complete_)
            break;
        // It pauses behind an interim answer.
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED)
            http_parser_pause(&parser_, 0);
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            return false;
    }
    excess_bytes_ = bytes.size();
    return true;
}

void answer_parser::finish()
{
    http_parser_execute(&parser_, &callbacks_, nullptr, 0);
}

answer_parser& answer_parser::of(http_parser* parser)
{
    return *static_cast<answer_parser*>(parser->data);
}

int answer_parser::on_status(http_parser* parser, char const* at,
                             std::size_t size)
{
    of(parser).reason_.append(at, size);
    return go_on;
}

int answer_parser::on_header_field(http_parser* parser, char const* at,
                                   std::size_t size)
{
    answer_parser& self = of(parser);
    if (self.in_value_)
        self.store_header();
    self.field_.append(at, size);
    // Empty where a read ended at the name's end.
    return size == 0 || is_token({at, size}) ? go_on : reject;
}

int answer_parser::on_header_value(http_parser* parser, char const* at,
                                   std::size_t size)
{
    answer_parser& self = of(parser);
    self.in_value_ = true;
    self.value_.append(at, size);
    return go_on;
}

void answer_parser::store_header()
{
    look_for_status_line(value_);
    value_.resize(value_.find_last_not_of(optional_white_space) + 1);
    headers_.add(std::exchange(field_, {}), std::exchange(value_, {}));
    in_value_ = false;
}

bool answer_parser::has_known_framing() const
{
    int encodings = 0;
    for (auto const& [name, value] : headers_.fields())
        if (same_header_name(name, "Transfer-Encoding") &&
            (!is_chunked_only(value) || ++encodings > 1))
            return false;
    return true;
}

void answer_parser::look_for_status_line(std::string_view text)
{
    if (text.find(start_of_status_line) != std::string_view::npos)
        has_joined_heads_ = true;
}

void answer_parser::forget_headers()
{
    headers_ = {};
    reason_.clear();
    field_.clear();
    value_.clear();
    in_value_ = false;
}

int answer_parser::on_headers_complete(http_parser* parser)
{
    answer_parser& self = of(parser);
    if (self.in_value_)
        self.store_header();
    self.look_for_status_line(self.reason_);
    if (!self.has_known_framing())
        return reject;
    int const status = static_cast<int>(parser->status_code);
    // No request asks for another protocol.
    if (status == status_switching_protocols)
        return reject;
    // Interim answers have no body, whatever their fields say.
    if (status < first_final_status)
        return skip_body;
    self.has_head_ = true;
    self.keeps_alive_ = http_should_keep_alive(parser) != 0;
    http_headers headers = std::move(self.headers_);
    self.forget_headers();
    if (!self.listener_.on_head(status, std::move(headers)))
        return reject;
    bool const bodiless =
        status == status_no_content || status == status_not_modified;
    return bodiless ? skip_body : go_on;
}

int answer_parser::on_body(http_parser* parser, char const* at,
                           std::size_t size)
{
    of(parser).listener_.on_body({at, size});
    return 0;
}

int answer_parser::on_message_complete(http_parser* parser)
{
    answer_parser& self = of(parser);
    // Those of a trailer, too.
    self.forget_headers();
    if (!self.has_head_ && ++self.interim_answers_ > max_interim_answers)
        return 1;
    self.complete_ = self.has_head_;
    self.head_check_.begin();
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace mulberry
