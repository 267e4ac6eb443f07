#include "answer_parser.hpp"

#include <utility>

namespace mulberry
{
namespace
{

/// Workers send one or two; a faulty one may send them without end.
constexpr int max_interim_answers = 16;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr std::string_view start_of_status_line = "HTTP/1.";
constexpr std::string_view optional_white_space = " \t";

/// Results of on_headers_complete().
constexpr int go_on = 0;
constexpr int skip_body = 1;
constexpr int reject = -1;

} // namespace

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
    if (bytes.empty())
        return true;
    std::size_t const used =
        http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    excess_bytes_ = complete_ ? bytes.size() - used : 0;
    return complete_ ||
           (HTTP_PARSER_ERRNO(&parser_) == HPE_OK && used == bytes.size());
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
    return go_on;
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
    int const status = static_cast<int>(parser->status_code);
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
    if (!self.has_head_)
        return ++self.interim_answers_ > max_interim_answers ? 1 : 0;
    self.complete_ = true;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace mulberry
