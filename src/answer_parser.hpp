/// Incremental parser of the answers that arrive on one connection.
#ifndef MULBERRY_ANSWER_PARSER_HPP
#define MULBERRY_ANSWER_PARSER_HPP

#include "http_message.hpp"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace mulberry
{

/// Checks what the HTTP parser is lenient about: the status line must begin
/// with "HTTP/1.0 " or "HTTP/1.1 ", three digits, the first of them not 0, and
/// a blank or the end of the line; and no field may go on in another line.
/// Failure: the parser guesses the status of other lines, and a field that a
/// worker in trouble has indented becomes part of the one before it. Thread
/// safety: none.
class answer_head_check
{
public:
    /// Expects the first byte of another head from now on.
    void begin();
    /// Checks the bytes up to the end of the head, and ignores what follows.
    /// Returns false if one is wrong; no call follows then, but begin().
    bool feed(std::string_view bytes);

private:
    bool feed(char byte);

    /// Bytes of the status line that were checked.
    std::size_t checked_ = 0;
    bool at_line_start_ = false;
    bool is_complete_ = false;
};

/// Receives the parts of one final answer; interim answers are skipped.
class answer_listener
{
public:
    virtual ~answer_listener() = default;
    /// Returns false if the answer is not accepted; the parser then fails.
    virtual bool on_head(int status, http_headers headers) = 0;
    virtual void on_body(std::string_view bytes) = 0;
};

/// Thread safety: none.
class answer_parser
{
public:
    /// `listener` outlives this object.
    explicit answer_parser(answer_listener& listener);
    answer_parser(answer_parser const&) = delete;
    answer_parser& operator=(answer_parser const&) = delete;

    /// Expects the first byte of another answer from now on.
    void begin();
    /// Parses up to the end of the answer. Returns whether the bytes are a part
    /// of a valid answer, or of one with more bytes behind it. Precondition:
    /// the answer is not complete, and no call has returned false.
    bool feed(std::string_view bytes);
    /// The connection has ended, which completes an answer without a length.
    /// Precondition: as of feed().
    void finish();

    bool has_head() const { return has_head_; }
    /// Whether a status line stands within the head, or within that of an
    /// interim answer: an answer was cut there, and the next one follows.
    bool has_joined_heads() const { return has_joined_heads_; }
    bool is_complete() const { return complete_; }
    /// The bytes of the last feed() that follow the complete answer.
    std::size_t excess_bytes() const { return excess_bytes_; }
    /// Whether the answer leaves its connection open. Precondition: has_head().
    bool keeps_alive() const { return keeps_alive_; }

private:
    static answer_parser& of(http_parser* parser);
    static int on_status(http_parser* parser, char const* at, std::size_t size);
    static int on_header_field(http_parser* parser, char const* at,
                               std::size_t size);
    static int on_header_value(http_parser* parser, char const* at,
                               std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, char const* at, std::size_t size);
    static int on_message_complete(http_parser* parser);
    void store_header();
    /// Whether the body's framing is one that this parser reads.
    bool has_known_framing() const;
    void look_for_status_line(std::string_view text);
    void forget_headers();

    answer_listener& listener_;
    http_parser parser_{};
    http_parser_settings callbacks_{};
    answer_head_check head_check_;
    http_headers headers_;
    /// Of the status line.
    std::string reason_;
    std::string field_;
    std::string value_;
    /// The field's value, which may be empty, has begun.
    bool in_value_ = false;
    int interim_answers_ = 0;
    bool has_head_ = false;
    bool has_joined_heads_ = false;
    bool complete_ = false;
    std::size_t excess_bytes_ = 0;
    bool keeps_alive_ = false;
};

} // namespace mulberry

#endif
