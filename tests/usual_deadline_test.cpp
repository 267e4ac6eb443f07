#include "usual_deadline.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

// Guards against taking the first callers for the usual ones.
TEST_CASE("the usual deadline is unknown before there were enough calls",
          "[usual_deadline]")
{
    usual_deadline deadline;
    for (int call = 0; call < 15; ++call)
        deadline.add(3s);
    CHECK_FALSE(deadline.value());
    deadline.add(3s);
    CHECK(deadline.value() == duration(3s));
}

// Guards against a load that hides its own returns: every caller is refused
// once and comes back with half of its time.
TEST_CASE("returning callers do not change the usual deadline",
          "[usual_deadline]")
{
    usual_deadline deadline;
    for (int call = 0; call < 200; ++call)
        deadline.add(call % 2 == 0 ? 3000ms : 1500ms);
    CHECK(deadline.value() == duration(3s));
}

// Guards against a few callers with long deadlines, for which all others would
// be taken for returning ones.
TEST_CASE("a few longer deadlines do not change the usual one",
          "[usual_deadline]")
{
    usual_deadline deadline;
    for (int call = 0; call < 200; ++call)
        deadline.add(call % 10 == 0 ? 60s : 3s);
    CHECK(deadline.value() == duration(3s));
}

// Guards against a deadline that callers no longer have.
TEST_CASE("the usual deadline follows the callers", "[usual_deadline]")
{
    usual_deadline deadline;
    for (int call = 0; call < 100; ++call)
        deadline.add(3s);
    for (int call = 0; call < 64; ++call)
        deadline.add(2s);
    CHECK(deadline.value() == duration(2s));
}
