#include "answer_parser.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace mulberry;

namespace
{

using header_fields = std::vector<std::pair<std::string, std::string>>;

/// What a listener receives of one answer.
struct answer_parts
{
    int status = 0;
    header_fields fields;
    std::string body;
    bool complete = false;
    bool excess = false;
    friend bool operator==(answer_parts const&, answer_parts const&) = default;
};

std::ostream& operator<<(std::ostream& out, answer_parts const& parts)
{
    out << parts.status << (parts.complete ? " complete" : " open")
        << (parts.excess ? " excess" : "") << ", body [" << parts.body << "]";
    for (auto const& [name, value] : parts.fields)
        out << ", " << name << "=[" << value << "]";
    return out;
}

class part_recorder final : public answer_listener
{
public:
    bool on_head(int status, http_headers headers) override
    {
        parts.status = status;
        parts.fields = headers.fields();
        return accepts;
    }
    void on_body(std::string_view bytes) override { parts.body += bytes; }

    answer_parts parts;
    bool accepts = true;
};

/// Feeds the pieces up to the end of the answer; `ends`: the connection ends
/// behind them.
answer_parts parse(answer_parser& parser, part_recorder& into,
                   std::vector<std::string> const& pieces, bool ends)
{
    into.parts = {};
    parser.begin();
    bool excess = false;
    for (std::string const& piece : pieces)
        if (parser.is_complete())
            excess |= !piece.empty();
        else if (!parser.feed(piece))
            return into.parts;
    if (ends && !parser.is_complete())
        parser.finish();
    into.parts.complete = parser.is_complete();
    into.parts.excess = excess || parser.excess_bytes() > 0;
    return into.parts;
}

answer_parts parse(std::vector<std::string> const& pieces, bool ends = false)
{
    part_recorder into;
    answer_parser parser(into);
    return parse(parser, into, pieces, ends);
}

struct written_answer
{
    std::string text;
    answer_parts parts;
    /// It has no length.
    bool ends_with_connection = false;
};

/// Draws answers of any shape that a worker may send.
class answer_writer
{
public:
    explicit answer_writer(unsigned seed) : random_(seed) {}

    written_answer draw()
    {
        written_answer answer;
        line_end_ = below(8) == 0 ? "\n" : "\r\n";
        for (std::size_t left = below(4) == 0 ? below(4) : 0; left > 0; --left)
            answer.text += interim();
        static constexpr int statuses[] = {200, 200, 200, 204, 304, 404, 503};
        answer.parts.status = statuses[below(std::size(statuses))];
        add_head(answer);
        answer.parts.complete = true;
        if (!answer.ends_with_connection && below(4) == 0)
        {
            answer.text += below(2) == 0 ? "HTTP/1.1 200 OK\r\n\r\n" : "x";
            answer.parts.excess = true;
        }
        return answer;
    }

    std::vector<std::string> split(std::string const& text)
    {
        std::vector<std::string> pieces;
        std::size_t const longest = std::size_t(1) << below(9);
        for (std::size_t at = 0; at < text.size(); at += pieces.back().size())
            pieces.push_back(text.substr(at, 1 + below(longest)));
        return pieces;
    }

private:
    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          limit - 1)(random_);
    }

    std::string letters(std::size_t longest)
    {
        std::string text(below(longest + 1), ' ');
        std::generate(text.begin(), text.end(),
                      [this] { return static_cast<char>('a' + below(26)); });
        return text;
    }

    std::string blanks()
    {
        static constexpr char const* all[] = {"", "", " ", "\t", "  "};
        return all[below(std::size(all))];
    }

    std::string field(std::string const& name, std::string const& value)
    {
        return name + ":" + blanks() + value + line_end_;
    }

    /// Appends fields, many of them without a value or repeated.
    void add_fields(std::string& text, header_fields& fields)
    {
        static constexpr char const* names[] = {"Number", "Proof", "Refused",
                                                "x", "Cache-Status"};
        for (std::size_t left = below(6); left > 0; --left)
        {
            std::string const name = names[below(std::size(names))];
            std::string const value = below(2) == 0 ? "" : letters(12);
            text += field(name, value + blanks());
            fields.emplace_back(name, value);
        }
    }

    std::string interim()
    {
        header_fields ignored;
        std::string text =
            (below(2) == 0 ? "HTTP/1.1 100 Continue" : "HTTP/1.1 103") +
            line_end_;
        add_fields(text, ignored);
        if (below(4) == 0)
            text += below(2) == 0 ? field("Content-Length", "7")
                                  : field("Transfer-Encoding", "chunked");
        return text + line_end_;
    }

    void add_head(written_answer& answer)
    {
        std::string& text = answer.text;
        header_fields& fields = answer.parts.fields;
        int const status = answer.parts.status;
        bool const bodiless = status == 204 || status == 304;
        std::string const body = letters(40);
        text += fmt::format("HTTP/1.1 {} {}", status, letters(5)) + line_end_;
        add_fields(text, fields);
        std::string framed;
        std::size_t const framing = below(3);
        if (framing == 0)
        {
            fields.emplace_back("Content-Length", std::to_string(body.size()));
            framed = body;
        }
        else if (framing == 1)
        {
            fields.emplace_back("Transfer-Encoding", "chunked");
            framed = chunks(body);
        }
        else
        {
            framed = body;
            answer.ends_with_connection = !bodiless;
        }
        if (framing < 2)
            text += field(fields.back().first, fields.back().second);
        add_fields(text, fields);
        text += line_end_;
        if (bodiless)
            return;
        text += framed;
        answer.parts.body = body;
    }

    std::string chunks(std::string const& body)
    {
        std::string text;
        for (std::size_t at = 0; at < body.size();)
        {
            std::string const piece = body.substr(at, 1 + below(20));
            at += piece.size();
            text += fmt::format("{:x}{}\r\n{}\r\n", piece.size(),
                                below(3) == 0 ? ";name=value" : "", piece);
        }
        text += "0\r\n";
        header_fields ignored;
        if (below(2) == 0)
            add_fields(text, ignored);
        return text + "\r\n";
    }

    std::mt19937 random_;
    std::string line_end_;
};

} // namespace

// Guards against reading an answer otherwise than it was written, whichever way
// it is split and whatever answer the parser has read before.
TEST_CASE("answers are read as they were written", "[answer_parser]")
{
    constexpr int answers = 100'000;
    constexpr unsigned seed = 1;
    answer_writer writer(seed);
    part_recorder into;
    answer_parser parser(into);
    for (int number = 0; number < answers; ++number)
    {
        written_answer const written = writer.draw();
        answer_parts const read =
            parse(parser, into, writer.split(written.text),
                  written.ends_with_connection);
        if (read == written.parts)
            continue;
        CAPTURE(seed, number, written.text);
        REQUIRE(read == written.parts);
    }
}

// Guards against losing a part of a field at the end of a read.
TEST_CASE("fields are read alike when split behind any byte", "[answer_parser]")
{
    std::string const text =
        "HTTP/1.1 100 Continue\r\nLink:\r\n\r\n"
        "HTTP/1.1 503 Full\r\nCache-Status:\r\nNumber: 7\r\nEmpty: \r\n"
        "Twice: a\r\nTwice:\r\nContent-Length: 2\r\nLast:\r\n\r\nno";
    answer_parts const expected{503,
                                {{"Cache-Status", ""},
                                 {"Number", "7"},
                                 {"Empty", ""},
                                 {"Twice", "a"},
                                 {"Twice", ""},
                                 {"Content-Length", "2"},
                                 {"Last", ""}},
                                "no",
                                true};
    CHECK(parse({text}) == expected);
    std::vector<std::string> bytes;
    for (char const each : text)
        bytes.emplace_back(1, each);
    CHECK(parse(bytes) == expected);
    for (std::size_t first = 1; first < text.size(); ++first)
        for (std::size_t second = first; second < text.size(); ++second)
        {
            answer_parts const read = parse({text.substr(0, first),
                                             text.substr(first, second - first),
                                             text.substr(second)});
            if (read == expected)
                continue;
            CAPTURE(first, second);
            CHECK(read == expected);
        }
}

// Guards against taking an answer whose name is padded for another request's.
TEST_CASE("white space round a field's value is no part of it",
          "[answer_parser]")
{
    std::string const value = GENERATE("7 ", "7\t", " 7 \t ", "7");
    answer_parts const read =
        parse({"HTTP/1.1 204 None\r\nNumber: " + value + "\r\n\r\n"});
    CHECK(read.fields == header_fields{{"Number", "7"}});
}

// Guards against taking the final answer for the body of an interim one.
TEST_CASE("an interim answer has no body", "[answer_parser]")
{
    std::string const fields =
        GENERATE("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
    answer_parts const read =
        parse({"HTTP/1.1 103 Early Hints\r\n" + fields +
               "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
    CHECK(read.status == 200);
    CHECK(read.body == "ok");
    CHECK(read.complete);
}

// Guards against waiting for a body that never comes.
TEST_CASE("answers of some statuses have no body", "[answer_parser]")
{
    std::string const status = GENERATE("204 No Content", "304 Not Modified");
    std::string const fields =
        GENERATE("", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
    answer_parts const read =
        parse({"HTTP/1.1 " + status + "\r\n" + fields + "\r\n"});
    CHECK(read.complete);
    CHECK(read.body.empty());
}

TEST_CASE("a head that is not accepted ends the answer", "[answer_parser]")
{
    part_recorder into;
    into.accepts = false;
    answer_parser parser(into);
    CHECK_FALSE(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    CHECK(into.parts.body.empty());
    CHECK_FALSE(parser.is_complete());
}

namespace
{

/// Whether the answer is refused, whichever way it is split.
bool is_refused(std::string const& text)
{
    std::vector<std::string> bytes;
    for (char const each : text)
        bytes.emplace_back(1, each);
    answer_parts const at_once = parse({text}, true);
    answer_parts const in_bytes = parse(bytes, true);
    return !at_once.complete && at_once.status == 0 && !in_bytes.complete &&
           in_bytes.status == 0;
}

} // namespace

// Guards against passing an answer on whose status line is not one: a worker in
// trouble sends it, and its status is guessed.
TEST_CASE("an answer with a malformed status line is refused",
          "[answer_parser]")
{
    std::string const line =
        GENERATE("HTTP/1.1 000 OK", "HTTP/1.1 000 ", "HTTP/1.1 099 x",
                 "HTTP/1.1 00 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
                 "HTTP/1.1 0200 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK",
                 "HTTP/1.1 20x OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
                 "HTTP/1.1 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK",
                 "HTTP/1.10 200 OK", "HTTP/01.1 200 OK", "XTTP/1.1 200 OK",
                 "http/1.1 200 OK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK");
    std::string const before =
        GENERATE("", "HTTP/1.1 100 Continue\r\nLink: a\r\n\r\n");
    CAPTURE(before, line);
    CHECK(is_refused(before + line + "\r\nContent-Length: 2\r\n\r\nok"));
}

// Guards against taking the body of an answer for the next head.
TEST_CASE("a status below 100 is not that of an interim answer",
          "[answer_parser]")
{
    std::string const status = GENERATE("000", "099", "20", "0");
    std::string const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CHECK(
        is_refused(fmt::format("HTTP/1.1 {} x\r\nContent-Length: {}\r\n\r\n{}",
                               status, whole.size(), whole)));
}

TEST_CASE("a change of the protocol is refused", "[answer_parser]")
{
    CHECK(is_refused("HTTP/1.1 101 x\r\nConnection: Upgrade\r\n"
                     "Upgrade: a\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
}

TEST_CASE("an answer with a short status line is read", "[answer_parser]")
{
    std::string const line =
        GENERATE("HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK");
    answer_parts const read = parse({line + "\r\nContent-Length: 2\r\n\r\nok"});
    CHECK(read.status == 200);
    CHECK(read.complete);
}

// Guards against fields that the caller reads otherwise than this VM does, such
// as a length with a blank before its colon.
TEST_CASE("an answer with a malformed field name is refused", "[answer_parser]")
{
    std::string const field =
        GENERATE(as<std::string>{}, "X-Pad : y", "X-Pad\t: y", "X Pad: y",
                 "Content-Length : 2", "Content -Length: 2",
                 "Transfer-Encoding : chunked", "Content-Encoding : gzip",
                 ": y", "X(Pad): y", "X-\x01Pad: y", "X-\x0bPad: y",
                 "X-\x7fPad: y", "X-\xe9Pad: y", std::string("X-\0Pad: y", 9));
    CAPTURE(field);
    bool const first = GENERATE(true, false);
    std::string const head =
        first ? field + "\r\nNumber: 7\r\n" : "Number: 7\r\n" + field + "\r\n";
    CHECK(is_refused("HTTP/1.1 200 OK\r\n" + head +
                     "Content-Length: 2\r\n\r\nok"));
}

// Guards against reading a field that is indented as a part of the one before
// it: its body would be read without the framing that the field names.
TEST_CASE("an answer with an indented field is refused", "[answer_parser]")
{
    std::string const blank = GENERATE(" ", "\t");
    std::string const before = GENERATE("", "Number: 7\r\n", "Number: 7\n");
    CHECK(is_refused("HTTP/1.1 200 OK\r\n" + before + blank +
                     "Transfer-Encoding: chunked\r\n"
                     "Content-Length: 2\r\n\r\nok"));
}

TEST_CASE("a body may begin with a blank", "[answer_parser]")
{
    answer_parts const read =
        parse({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n a\n b"});
    CHECK(read.body == " a\n b");
    CHECK(read.complete);
}

// Guards against passing the framing of a body on as the body.
TEST_CASE("an answer with a transfer encoding other than chunked is refused",
          "[answer_parser]")
{
    std::string const fields = GENERATE(
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n");
    CAPTURE(fields);
    CHECK(is_refused("HTTP/1.1 200 OK\r\n" + fields +
                     "\r\n2\r\nok\r\n0\r\n\r\n"));
}

TEST_CASE("the name of the chunked encoding has no case", "[answer_parser]")
{
    answer_parts const read =
        parse({"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
               "2\r\nok\r\n0\r\n\r\n"});
    CHECK(read.complete);
    CHECK(read.body == "ok");
}
