#include "prefill_backlog.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

} // namespace

TEST_CASE("prompts are prefilled one after the other", "[worker_reading]")
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

// Guards against an estimate that grows to many seconds under steady load and
// never recovers: prompts are prefilled faster than expected because the engine
// still has their prefixes. A request that begins shows that all prompts sent
// before it are prefilled, so that only later ones are ahead of the next
// request.
TEST_CASE("a request that begins corrects the backlog", "[worker_reading]")
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
