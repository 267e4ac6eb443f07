#include "prefill_backlog.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

} // namespace

TEST_CASE("prompts are read one after the other", "[worker_reading]")
{
    prefill_backlog backlog;
    CHECK(backlog.ahead(start) == duration(0));
    backlog.add(300ms, start);
    backlog.add(200ms, start + 100ms);
    CHECK(backlog.ahead(start + 100ms) == duration(400ms));
    CHECK(backlog.ahead(start + 600ms) == duration(0));
    backlog.add(50ms, start + 1s);
    CHECK(backlog.ahead(start + 1s) == duration(50ms));
}

// Prompts turn out to be read faster than was thought: the engine still had
// their beginnings. Once a request begins, all that was sent before it is read,
// and only what was sent after it is ahead of the next one. Without this the
// estimate grows to many seconds under steady load and is never right again.
TEST_CASE("a request that begins corrects what is ahead", "[worker_reading]")
{
    prefill_backlog backlog;
    backlog.add(500ms, start);
    backlog.add(500ms, start + 10ms);
    backlog.add(300ms, start + 20ms);
    backlog.on_first_byte(start + 10ms, start + 100ms);
    CHECK(backlog.ahead(start + 100ms) == duration(300ms));
    backlog.on_first_byte(start + 20ms, start + 150ms);
    CHECK(backlog.ahead(start + 150ms) == duration(0));
}
