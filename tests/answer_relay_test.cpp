#include "answer_relay.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;
using verdict = answer_relay::verdict;

TEST_CASE("passed events have no gaps or duplicates in any order of arrival",
          "[answer_relay]")
{
    CHECK(rc::check(
        "the passed offsets are 0, 1, 2...",
        [](std::vector<std::uint8_t> const& arrivals)
        {
            safeguards const checks;
            answer_relay relay(checks, 1s, time_point());
            std::uint64_t expected = 0;
            for (std::uint64_t const arrival : arrivals)
            {
                std::uint64_t const offset = arrival % 8;
                verdict const result =
                    relay.on_event(offset, false, time_point());
                RC_ASSERT((result == verdict::pass) == (offset == expected));
                RC_ASSERT((result == verdict::gap) == (offset > expected));
                expected += result == verdict::pass;
                RC_ASSERT(relay.next_offset() == expected);
            }
        }));
}

TEST_CASE("only the next expected event extends the progress deadline",
          "[answer_relay]")
{
    safeguards const checks;
    answer_relay relay(checks, 2s, time_point());
    CHECK_FALSE(relay.begun());
    CHECK(relay.progress_deadline() == time_point(2s));
    CHECK(relay.on_event(0, false, time_point(1s)) == verdict::pass);
    CHECK(relay.begun());
    CHECK(relay.progress_deadline() == time_point(3s));
    CHECK(relay.on_event(0, false, time_point(2s)) == verdict::duplicate);
    CHECK(relay.on_event(5, false, time_point(2s)) == verdict::gap);
    CHECK(relay.progress_deadline() == time_point(3s));
    relay.on_reconnect(time_point(2s));
    CHECK(relay.progress_deadline() == time_point(4s));
}

TEST_CASE("the end is seen only when the last event is passed on",
          "[answer_relay]")
{
    safeguards const checks;
    answer_relay relay(checks, 2s, time_point());
    CHECK(relay.on_event(1, true, time_point()) == verdict::gap);
    CHECK_FALSE(relay.end_seen());
    CHECK(relay.on_event(0, false, time_point()) == verdict::pass);
    CHECK_FALSE(relay.end_seen());
    CHECK(relay.on_event(1, true, time_point()) == verdict::pass);
    CHECK(relay.end_seen());
}
