#include "crash_row.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

clock_pair const clocks{time_point(1h),
                        std::chrono::system_clock::time_point(1'770'000'000s)};

crash_observation const seen{request_digest("0af3"),
                             {worker_id("rack/w1"), worker_start(17)},
                             clocks.now - 90ms,
                             clocks.now - 30ms};

} // namespace

TEST_CASE("a crash row is decoded as it was encoded", "[crash_row]")
{
    std::string const key = crash_row_key({seen.request, seen.crashed});
    CHECK(key == "crash/0af3/17/rack/w1");
    CHECK(parse_crash_key(key) == crash_key{seen.request, seen.crashed});
    CHECK(parse_crash_row(key, crash_row_text(seen, clocks), clocks) == seen);
}

TEST_CASE("a crash time is valid after a restart with another monotonic clock",
          "[crash_row]")
{
    clock_pair const later{time_point(5s), clocks.time_of_day + 20s};
    auto const read =
        parse_crash_row(crash_row_key({seen.request, seen.crashed}),
                        crash_row_text(seen, clocks), later);
    CHECK(read->at == time_point(5s) - 20s - 30ms);
    // The reader's time of day is behind the writer's.
    clock_pair const behind{time_point(5s), clocks.time_of_day - 20s};
    CHECK(parse_crash_row(crash_row_key({seen.request, seen.crashed}),
                          crash_row_text(seen, clocks), behind)
              ->at == time_point(5s));
}

TEST_CASE("malformed crash rows are rejected", "[crash_row]")
{
    for (char const* key : {"", "vm/a", "crash/", "crash/d", "crash/d/1",
                            "crash/d/x/w", "crash/d//w"})
        CHECK_FALSE(parse_crash_key(key));
    for (char const* text :
         {"", "[]", "{}", R"({"at_ms":1})", R"({"at_ms":"1","sent_ms":1})"})
        CHECK_FALSE(parse_crash_row("crash/d/1/w", text, clocks));
}
