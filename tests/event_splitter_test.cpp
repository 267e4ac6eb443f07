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
    events.discard_incomplete();
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
