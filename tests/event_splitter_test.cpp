#include "event_splitter.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

TEST_CASE("only complete events are returned, byte for byte",
          "[event_splitter]")
{
    std::string const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut)
    {
        event_splitter events;
        std::string const first = events.feed(stream.substr(0, cut));
        bool const complete = first.empty() || first.ends_with("\n\n");
        CHECK(complete);
        CHECK(first + events.feed(stream.substr(cut)) == stream);
        CHECK(events.last_id() == 2U);
        CHECK(events.incomplete_bytes() == 0);
    }
}

// Guards against corrupt events when a worker dies in the middle of one: the
// incomplete event is discarded, and the last id says where another worker
// resumes.
TEST_CASE("an incomplete event is discarded when a stream is resumed",
          "[event_splitter]")
{
    event_splitter events;
    CHECK(events.feed("id: 7\ndata: a\n\nid: 8\nda") == "id: 7\ndata: a\n\n");
    CHECK(events.last_id() == 7U);
    CHECK(events.incomplete_bytes() > 0);
    events.begin_answer();
    CHECK(events.feed("id: 8\ndata: b\n\n") == "id: 8\ndata: b\n\n");
    CHECK(events.last_id() == 8U);
}

TEST_CASE("lines may end with carriage returns", "[event_splitter]")
{
    event_splitter events;
    CHECK(events.feed("id: 3\r\ndata: a\r\n\r\nid") ==
          "id: 3\r\ndata: a\r\n\r\n");
    CHECK(events.last_id() == 3U);
}

TEST_CASE("a stream without event ids has no last id", "[event_splitter]")
{
    event_splitter events;
    events.feed("data: a\n\n");
    CHECK_FALSE(events.last_id());
}

// Guards against telling a stream as complete that ends inside an event, and
// as cut where only line ends or a comment follow the last event.
TEST_CASE("a stream ends inside an event or behind it", "[event_splitter]")
{
    std::string const event = "id: 1\ndata: a\n\n";
    for (char const* const rest : {"", "\n", "\r\n", ": comment\n", "\n\n"})
    {
        CAPTURE(rest);
        event_splitter events;
        std::string text = events.feed(event + rest);
        CHECK_FALSE(events.is_within_event());
        text += events.take_rest();
        CHECK(text == event + rest);
    }
    for (char const* const rest : {"i", "id: 2", "id: 2\n", "data: b\r\n", ":"})
    {
        CAPTURE(rest);
        event_splitter events;
        CHECK(events.feed(event + rest) == event);
        CHECK(events.is_within_event());
    }
}

TEST_CASE("each kind of line end ends an event wherever reads are cut",
          "[event_splitter]")
{
    for (std::string const end : {"\n", "\r\n", "\r"})
    {
        std::string const event = "id: 4" + end + "data: a" + end + end;
        std::string const stream = event + event;
        for (std::size_t cut = 0; cut <= stream.size(); ++cut)
        {
            CAPTURE(end, cut);
            event_splitter events;
            std::string text = events.feed(stream.substr(0, cut));
            text += events.feed(stream.substr(cut));
            CHECK_FALSE(events.is_within_event());
            CHECK(text + events.take_rest() == stream);
            CHECK(events.last_id() == 4U);
        }
    }
}

// Guards against resuming behind an event that had no id: the events since the
// last one with an id would come twice.
TEST_CASE("a stream can be resumed behind an event with an id",
          "[event_splitter]")
{
    event_splitter events;
    CHECK(events.can_resume());
    events.feed("id: 1\ndata: a\n\n");
    CHECK(events.can_resume());
    events.feed(": comment\n\nretry: 10\n\n");
    CHECK(events.can_resume());
    events.feed("data: b\n\n");
    CHECK_FALSE(events.can_resume());
    events.feed("id: 3\ndata: c\n\n");
    CHECK(events.can_resume());
}

TEST_CASE("an answer without an event is told from one with events",
          "[event_splitter]")
{
    event_splitter events;
    CHECK_FALSE(events.answer_has_events());
    events.feed("id: 1\ndata: a\n\n");
    CHECK(events.answer_has_events());
    events.begin_answer();
    events.feed(": comment\n\n");
    CHECK_FALSE(events.answer_has_events());
}
