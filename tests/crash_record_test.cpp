#include "crash_record.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
request_digest const bad("bad");
request_digest const other("other");

worker_incarnation first_incarnation_of(int number)
{
    return {worker_id("w" + std::to_string(number)), worker_start(1)};
}

/// The request was sent to worker `number` 60 ms before the worker crashed.
crash_observation seen(request_digest const& request, int number, time_point at)
{
    return {request, first_incarnation_of(number), at - 60ms, at};
}

/// Adds three crashes, one second apart.
void crash_three(crash_record& record, request_digest const& request)
{
    for (int number = 0; number < 3; ++number)
        record.add(seen(request, number, start + number * 1s), start + 3s);
}

} // namespace

TEST_CASE("a request in progress at three crashes is quarantined",
          "[crash_record]")
{
    crash_record record({3, 10min, 100});
    CHECK(record.empty());
    record.add(seen(bad, 0, start), start);
    record.add(seen(bad, 1, start + 1s), start + 1s);
    CHECK_FALSE(record.quarantined_until(bad, start + 1s));
    record.add(seen(bad, 2, start + 2s), start + 2s);
    CHECK(record.crashes(bad, start + 2s) == 3);
    CHECK(record.quarantined_until(bad, start + 2s) == start + 10min);
    CHECK_FALSE(record.quarantined_until(other, start + 2s));
}

TEST_CASE("a crash that is reported repeatedly counts once", "[crash_record]")
{
    crash_record record({3, 10min, 100});
    CHECK(record.add(seen(bad, 0, start), start));
    for (int again = 1; again < 5; ++again)
        CHECK_FALSE(record.add(seen(bad, 0, start + again * 1s), start));
    CHECK(record.crashes(bad, start) == 1);
    CHECK(record.observations(bad).front().at == start);
}

// Guards against counting crashes of a restarted worker once because its id
// stays the same.
TEST_CASE("crashes of a restarted worker count separately", "[crash_record]")
{
    crash_record record({3, 10min, 100});
    for (unsigned number = 0; number < 3; ++number)
    {
        crash_observation again = seen(bad, 0, start + number * 1s);
        again.crashed.started = worker_start(number + 1);
        record.add(again, start + 3s);
    }
    CHECK(record.quarantined_until(bad, start + 3s));
}

// Guards against quarantining a harmless request that runs on the same workers
// as a poison request: callers repeat both, so that they often meet again.
TEST_CASE("an answer clears a request's earlier crashes", "[crash_record]")
{
    crash_record record({3, 10min, 100});
    record.add(seen(other, 0, start), start);
    record.add(seen(other, 1, start + 1s), start + 1s);
    CHECK(record.clear(other, start + 2s));
    record.add(seen(other, 2, start + 3s), start + 3s);
    CHECK(record.crashes(other, start + 3s) == 1);
    CHECK_FALSE(record.quarantined_until(other, start + 3s));
    // A late report of a crash before the answer does not count either.
    CHECK_FALSE(record.add(seen(other, 3, start + 1s), start + 4s));
    CHECK(record.crashes(other, start + 4s) == 1);
}

// Guards against quarantining identical reads that run on many workers at a
// time when the workers' failure domain loses power.
TEST_CASE("simultaneous crashes of several workers count once",
          "[crash_record]")
{
    crash_record record({3, 10min, 100});
    SECTION("within 16 ms")
    {
        for (int number = 0; number < 8; ++number)
            record.add(seen(bad, number, start + number * 2ms), start + 1s);
        CHECK(record.crashes(bad, start + 1s) == 1);
    }
    SECTION("within 80 ms, while more identical requests are sent")
    {
        for (int number = 0; number < 8; ++number)
            record.add(seen(bad, number, start + number * 10ms), start + 1s);
        CHECK_FALSE(record.quarantined_until(bad, start + 1s));
    }
}

// Guards against mistaking the crashes of a poison request that is repeated
// quickly for a power loss.
TEST_CASE("crashes count separately if the request was sent after the previous "
          "crash",
          "[crash_record]")
{
    crash_record record({3, 10min, 100});
    for (int number = 0; number < 3; ++number)
        record.add(seen(bad, number, start + number * 65ms), start + 1s);
    CHECK(record.quarantined_until(bad, start + 1s));
}

TEST_CASE("a quarantine ends, and one more crash renews it", "[crash_record]")
{
    crash_record record({3, 10min, 100});
    crash_three(record, bad);
    time_point const end = *record.quarantined_until(bad, start + 3s);
    CHECK(record.quarantined_until(bad, end - 1ms));
    CHECK_FALSE(record.quarantined_until(bad, end));
    record.add(seen(bad, 7, end + 1s), end + 1s);
    CHECK(record.crashes(bad, end + 500ms) == 3);
    record.expire(start + 1h);
    CHECK(record.empty());
    CHECK_FALSE(record.add(seen(bad, 1, start + 1s), start + 1h));
}

TEST_CASE("only the newest crashes of a request are kept", "[crash_record]")
{
    crash_record record({3, 10min, 1000});
    for (int number = 0; number < 500; ++number)
        record.add(seen(bad, number, start + number * 1s), start + 500s);
    CHECK(record.observations(bad).size() == 24);
    CHECK(record.quarantined_until(bad, start + 500s) == start + 497s + 10min);
}

// Guards against forgetting earlier crashes of a poison request that many
// callers send at a time: crashes that count once displace those that count.
TEST_CASE("a request that crashes many workers at a time is quarantined",
          "[crash_record]")
{
    int const workers = GENERATE(1, 8, 24, 25, 100);
    bool const oldest_first = GENERATE(true, false);
    crash_record record({3, 10min, 1000});
    auto const crash_wave = [&](int wave)
    {
        for (int number = 0; number < workers; ++number)
        {
            int const part = oldest_first ? number : workers - 1 - number;
            record.add(seen(bad, wave * workers + number,
                            start + wave * 5s + part * 100us),
                       start + wave * 5s + 200ms);
        }
    };
    crash_wave(0);
    crash_wave(1);
    CHECK(record.crashes(bad, start + 6s) == 2);
    CHECK_FALSE(record.quarantined_until(bad, start + 6s));
    crash_wave(2);
    CHECK(record.crashes(bad, start + 11s) == 3);
    CHECK(record.quarantined_until(bad, start + 11s) == start + 10min);
    CHECK(record.observations(bad).size() <= 24);
}

// Guards against forgetting the earlier crashes of a request when the next one
// is added to a full record.
TEST_CASE("a further crash of a request counts in a full record",
          "[crash_record]")
{
    crash_record record({3, 10min, 50});
    time_point now = start;
    record.add(seen(bad, 0, now), now);
    int others = 0;
    for (std::size_t crashes = 2; crashes <= 3; ++crashes)
    {
        for (int until = others + 49; others < until; ++others)
            record.add(seen(request_digest("r" + std::to_string(others)),
                            100 + others, now + 1s),
                       now + 1s);
        now += 2s;
        record.add(seen(bad, static_cast<int>(crashes), now), now);
        CHECK(record.crashes(bad, now) == crashes);
    }
    CHECK(record.quarantined_until(bad, now) == start + 10min);
}

// Guards against ending a quarantine when many workers crash under other
// requests, such as at the loss of a region.
TEST_CASE("crashes of other workers do not end a quarantine", "[crash_record]")
{
    crash_record record({3, 10min, 50});
    crash_three(record, bad);
    bool const beside_one_request = GENERATE(true, false);
    for (int number = 0; number < 1000; ++number)
        record.add(seen(beside_one_request
                            ? other
                            : request_digest("r" + std::to_string(number)),
                        100 + number, start + 5s + number * 100us),
                   start + 6s);
    CHECK(record.quarantined_until(bad, start + 6s) == start + 10min);
}

TEST_CASE("the record is bounded and keeps the requests with the most crashes",
          "[crash_record]")
{
    crash_record record({3, 10min, 50});
    crash_three(record, bad);
    for (int number = 0; number < 1000; ++number)
        record.add(seen(request_digest("r" + std::to_string(number)),
                        100 + number % 20, start + 4s),
                   start + 4s);
    CHECK(record.suspect_count() <= 50);
    CHECK(record.quarantined_until(bad, start + 4s));
    for (int number = 0; number < 1000; ++number)
        record.add(seen(request_digest("s" + std::to_string(number)),
                        200 + number, start + 5s),
                   start + 5s);
    CHECK(record.suspect_count() <= 50);
}
