#include "worker_notices.hpp"

#include <catch2/catch.hpp>

namespace mulberry
{
namespace
{

using namespace std::chrono_literals;

worker_id const worker("w1");
constexpr time_point start{1h};

} // namespace

TEST_CASE("a backoff ends as announced, and a shorter one does not end it",
          "[worker_notices]")
{
    worker_notices notices;
    CHECK_FALSE(notices.is_paused(worker, start));
    CHECK(notices.request_backoff(worker, start + 3s, start));
    CHECK_FALSE(notices.request_backoff(worker, start + 2s, start + 1s));
    CHECK(notices.is_paused(worker, start + 2999ms));
    CHECK_FALSE(notices.is_paused(worker, start + 3s));
    CHECK(notices.request_backoff(worker, start + 5s, start + 4s));
}

TEST_CASE("the next backoff end is the earliest one in the future",
          "[worker_notices]")
{
    worker_notices notices;
    CHECK(notices.next_pause_end(start) == never);
    notices.request_backoff(worker, start + 3s, start);
    notices.request_backoff(worker_id("w2"), start + 2s, start);
    CHECK(notices.next_pause_end(start) == start + 2s);
    CHECK(notices.next_pause_end(start + 2s) == start + 3s);
    CHECK(notices.next_pause_end(start + 3s) == never);
}

TEST_CASE("a departure applies to the announcing and earlier incarnations",
          "[worker_notices]")
{
    worker_notices notices;
    CHECK_FALSE(notices.is_leaving(worker, worker_start(5)));
    notices.record_departure(worker, worker_start(5), start);
    CHECK(notices.is_leaving(worker, worker_start(4)));
    CHECK(notices.is_leaving(worker, worker_start(5)));
    CHECK_FALSE(notices.is_leaving(worker, worker_start(6)));
    // An entry without a start time counts as the known incarnation.
    CHECK(notices.is_leaving(worker, worker_start()));
}

// Guards against state that is kept for every worker that ever existed.
TEST_CASE("expired notices are removed", "[worker_notices]")
{
    worker_notices notices;
    notices.record_departure(worker, worker_start(5), start);
    notices.request_backoff(worker_id("w2"), start + 1h, start + 1h - 1s);
    CHECK_FALSE(notices.is_leaving(worker, worker_start(5)));
}

} // namespace mulberry
