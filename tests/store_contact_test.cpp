#include "store_contact.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};
constexpr std::chrono::milliseconds min_outage{1800};

} // namespace

TEST_CASE("an outage too short for entries to lapse needs no grace",
          "[store_contact]")
{
    store_contact contact(min_outage);
    contact.on_answer(start, start);
    CHECK(contact.on_failure(start + 600ms));
    CHECK_FALSE(contact.on_failure(start + 1200ms));
    CHECK(contact.is_lost());
    auto const back = GENERATE(1799ms, 1800ms);
    CHECK(contact.on_answer(start + back, start + back));
    CHECK_FALSE(contact.is_lost());
    CHECK(contact.returned_at() == start + back);
    CHECK(contact.trusted_at(start + back) ==
          start + back + (back < min_outage ? 0ms : lapse_grace));
}

// A reader's rows are older than its answer, so an outage may have begun before
// the last answer.
TEST_CASE("an outage is measured from when the store was last known to be up",
          "[store_contact]")
{
    store_contact contact(min_outage);
    contact.on_answer(start, start + 1400ms);
    contact.on_failure(start + 1500ms);
    contact.on_answer(start + 1900ms, start + 1900ms);
    CHECK(contact.trusted_at(start + 2s) == start + 1900ms + lapse_grace);
}

// Rows may come from a reader before the VM counts the store as back.
TEST_CASE("rows during a long outage are not trusted", "[store_contact]")
{
    store_contact contact(min_outage);
    contact.on_answer(start, start);
    contact.on_failure(start + 600ms);
    CHECK(contact.trusted_at(start + 5s) == start + 5s + lapse_grace);
}

// The store answers now and then during an outage. Heartbeats of workers are
// lost all the while.
TEST_CASE("failures soon after a return belong to the same outage",
          "[store_contact]")
{
    store_contact contact(min_outage);
    contact.on_answer(start, start);
    contact.on_failure(start + 500ms);
    contact.on_answer(start + 600ms, start + 600ms);
    auto const next = GENERATE(1900ms, 2600ms);
    contact.on_answer(start + next - 10ms, start + next - 10ms);
    contact.on_failure(start + next);
    contact.on_answer(start + next + 100ms, start + next + 100ms);
    bool const same = next < 600ms + lapse_grace;
    CHECK(contact.trusted_at(start + next + 100ms) ==
          start + next + 100ms + (same ? lapse_grace : 0ms));
}

// A query that hangs until its deadline is followed by the next one at once; a
// refused query waits.
TEST_CASE("the delay between queries begins with the query", "[store_contact]")
{
    CHECK(store_contact::retry_at(1, start) == start + 100ms);
    CHECK(store_contact::retry_at(2, start) == start + 200ms);
    CHECK(store_contact::retry_at(100, start) == start + max_store_retry_delay);
}
