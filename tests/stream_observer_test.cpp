#include "stream_observer.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace mulberry;

namespace
{

class kept_events : public event_sink
{
public:
    bool offer(core_event event) override
    {
        post(std::move(event));
        return true;
    }
    void post(core_event event) override { all.push_back(std::move(event)); }

    std::vector<core_event> all;
};

std::string event_with(std::string const& choices)
{
    return R"(data: {"id":"r1","model":"a@1#5","offset":0,"choices":)" +
           choices + "}\n\n";
}

/// Whether the event read from that text counts as an answer's last.
bool read_as_last(std::string const& choices)
{
    kept_events sink;
    call_registry calls;
    stream_observer observer(attempt_id(1), sink, calls);
    observer.on_status(200, {});
    observer.on_data(event_with(choices));
    REQUIRE(sink.all.size() == 1);
    return std::get<attempt_chunk>(sink.all[0]).last;
}

} // namespace

TEST_CASE("the last event is the one with a finish_reason", "[stream_observer]")
{
    CHECK(read_as_last(R"([{"index":0,"finish_reason":"stop"}])"));
    CHECK_FALSE(read_as_last(R"([{"index":0,"finish_reason":null}])"));
    CHECK_FALSE(read_as_last(R"([{"index":0}])"));
    CHECK_FALSE(read_as_last(R"([])"));
    CHECK_FALSE(read_as_last(R"("stop")"));
    CHECK_FALSE(read_as_last(R"([7])"));
}

// A proxy in between closes the response properly in the middle of an answer.
// Without the mark of the end it is a cut, whatever came before.
TEST_CASE("a stream without its mark of the end is a cut", "[stream_observer]")
{
    kept_events sink;
    call_registry calls;
    stream_observer observer(attempt_id(1), sink, calls);
    observer.on_status(200, {});
    observer.on_data(event_with(R"([{"finish_reason":"stop"}])"));
    observer.on_end();
    REQUIRE(sink.all.size() == 2);
    CHECK(std::get<attempt_failure>(sink.all[1]).stage ==
          failure_stage::answering);
}
