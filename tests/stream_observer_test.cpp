#include "stream_observer.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace mulberry;

namespace
{

class recording_sink : public event_sink
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

/// Returns whether an event with these `choices` is marked as the last one.
bool is_last_event(std::string const& choices)
{
    recording_sink sink;
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
    CHECK(is_last_event(R"([{"index":0,"finish_reason":"stop"}])"));
    CHECK_FALSE(is_last_event(R"([{"index":0,"finish_reason":null}])"));
    CHECK_FALSE(is_last_event(R"([{"index":0}])"));
    CHECK_FALSE(is_last_event(R"([])"));
    CHECK_FALSE(is_last_event(R"("stop")"));
    CHECK_FALSE(is_last_event(R"([7])"));
}

// Guards against truncated answers taken for complete: a proxy closes the
// response normally in the middle of an answer. Without [DONE] the attempt
// fails, even if an event had a finish_reason.
TEST_CASE("a stream that ends without [DONE] fails the attempt",
          "[stream_observer]")
{
    recording_sink sink;
    call_registry calls;
    stream_observer observer(attempt_id(1), sink, calls);
    observer.on_status(200, {});
    observer.on_data(event_with(R"([{"finish_reason":"stop"}])"));
    observer.on_end();
    REQUIRE(sink.all.size() == 2);
    CHECK(std::get<attempt_failure>(sink.all[1]).stage ==
          failure_stage::answering);
}
