#include "sse_parser.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace mulberry;

namespace
{

std::vector<sse_event> parse(std::string const& text,
                             std::vector<std::size_t> const& piece_sizes)
{
    sse_parser parser(1000);
    std::vector<sse_event> events;
    std::string_view rest = text;
    for (std::size_t const size : piece_sizes)
    {
        auto const more = parser.feed(rest.substr(0, size));
        events.insert(events.end(), more.begin(), more.end());
        rest.remove_prefix(std::min(size, rest.size()));
    }
    auto const last = parser.feed(rest);
    events.insert(events.end(), last.begin(), last.end());
    return events;
}

} // namespace

TEST_CASE("events are parsed with their names and joined data", "[sse_parser]")
{
    std::string const text = ": comment\n"
                             "data: one\n\n"
                             "event: error\r\ndata:two\r\ndata\r\ndata:  x\r\n"
                             "id: 7\r\n\r\n"
                             "event: nameless\n\n"
                             "data: cr\r\r"
                             "data: unfinished";
    std::vector<sse_event> const expected = {
        {"", "one"}, {"error", "two\n\n x"}, {"", "cr"}};
    CHECK(parse(text, {}) == expected);
    CHECK(parse(text, std::vector<std::size_t>(text.size(), 1)) == expected);
}

TEST_CASE("any split of the bytes gives the same events", "[sse_parser]")
{
    CHECK(rc::check(
        []
        {
            auto const lines = *rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("data: a", "data:", "event: e",
                                              ":", "id", "\r", "\n", "\r\n"));
            std::string text;
            for (std::string const& line : lines)
                text += line;
            auto const sizes = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, 6));
            RC_ASSERT(parse(text, sizes) == parse(text, {}));
        }));
}

TEST_CASE("an event over the size limit overflows, one at the limit does not",
          "[sse_parser]")
{
    sse_parser parser(10);
    CHECK(parser.feed("data: 1234\n\ndata: 5678\n\n").size() == 2);
    CHECK_FALSE(parser.overflowed());
    CHECK(parser.feed("data: 12345\n\ndata: 1\n\n").empty());
    CHECK(parser.overflowed());
    CHECK(parser.feed("data: 1\n\n").empty());
}
