#include "reading_pace.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// 30 microseconds a token.
constexpr std::uint32_t long_prompt = 10'000;
constexpr duration long_reading = 300ms;

/// An answer that begins after `took` where the pace said how long it takes.
void answer(reading_pace& pace, std::uint32_t tokens, duration took)
{
    pace.observe(tokens, pace.time_for(tokens), took);
}

void settle(reading_pace& pace)
{
    for (int number = 0; number < 40; ++number)
        answer(pace, long_prompt, long_reading);
}

} // namespace

TEST_CASE("the pace is learned from long prompts", "[reading_pace]")
{
    reading_pace pace;
    settle(pace);
    CHECK(pace.time_for(long_prompt) > long_reading * 9 / 10);
    CHECK(pace.time_for(long_prompt) < long_reading * 11 / 10);
}

TEST_CASE("short prompts say nothing of the pace", "[reading_pace]")
{
    reading_pace pace;
    settle(pace);
    duration const before = pace.time_for(long_prompt);
    for (int number = 0; number < 40; ++number)
        answer(pace, 100, 200ms);
    CHECK(pace.time_for(long_prompt) == before);
}

TEST_CASE("a few prompts that wait do not change the pace", "[reading_pace]")
{
    reading_pace pace;
    settle(pace);
    for (int number = 0; number < 40; ++number)
    {
        answer(pace, long_prompt, number % 5 == 0 ? 3s : long_reading);
        answer(pace, long_prompt, number % 5 == 1 ? 20ms : long_reading);
    }
    CHECK(pace.time_for(long_prompt) < long_reading * 12 / 10);
    CHECK(pace.time_for(long_prompt) > long_reading * 8 / 10);
}

// Prompts queue at a worker. What is ahead of one was expected to take time as
// well, and counts on both sides: the pace stays where it was.
TEST_CASE("a queue that was expected does not change the pace",
          "[reading_pace]")
{
    reading_pace pace;
    settle(pace);
    for (int number = 0; number < 40; ++number)
        pace.observe(long_prompt, pace.time_for(long_prompt) * 3,
                     long_reading * 3);
    CHECK(pace.time_for(long_prompt) < long_reading * 12 / 10);
    CHECK(pace.time_for(long_prompt) > long_reading * 8 / 10);
}
