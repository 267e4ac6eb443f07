#include "reading_pace.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// 30 microseconds a token.
constexpr std::uint32_t long_prompt = 10'000;
constexpr duration long_reading = 300ms;

void settle(reading_pace& pace)
{
    for (int number = 0; number < 40; ++number)
        pace.observe(long_prompt, long_reading);
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
        pace.observe(100, 200ms);
    CHECK(pace.time_for(long_prompt) == before);
}

TEST_CASE("a few prompts that wait do not change the pace", "[reading_pace]")
{
    reading_pace pace;
    settle(pace);
    for (int number = 0; number < 40; ++number)
    {
        pace.observe(long_prompt, number % 5 == 0 ? 3s : long_reading);
        pace.observe(long_prompt, number % 5 == 1 ? 20ms : long_reading);
    }
    CHECK(pace.time_for(long_prompt) < long_reading * 12 / 10);
    CHECK(pace.time_for(long_prompt) > long_reading * 8 / 10);
}
