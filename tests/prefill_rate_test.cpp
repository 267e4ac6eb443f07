#include "prefill_rate.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// 30 microseconds a token.
constexpr std::uint32_t long_prompt = 10'000;
constexpr duration long_prefill = 300ms;

/// An answer that begins after `took` where the pace said how long it takes.
void answer(prefill_rate& rate, std::uint32_t tokens, duration took)
{
    rate.observe(tokens, rate.prefill_time(tokens), took);
}

void converge(prefill_rate& rate)
{
    for (int number = 0; number < 40; ++number)
        answer(rate, long_prompt, long_prefill);
}

} // namespace

TEST_CASE("the pace is learned from long prompts", "[reading_pace]")
{
    prefill_rate rate;
    converge(rate);
    CHECK(rate.prefill_time(long_prompt) > long_prefill * 9 / 10);
    CHECK(rate.prefill_time(long_prompt) < long_prefill * 11 / 10);
}

TEST_CASE("short prompts say nothing of the pace", "[reading_pace]")
{
    prefill_rate rate;
    converge(rate);
    duration const before = rate.prefill_time(long_prompt);
    for (int number = 0; number < 40; ++number)
        answer(rate, 100, 200ms);
    CHECK(rate.prefill_time(long_prompt) == before);
}

TEST_CASE("a few prompts that wait do not change the pace", "[reading_pace]")
{
    prefill_rate rate;
    converge(rate);
    for (int number = 0; number < 40; ++number)
    {
        answer(rate, long_prompt, number % 5 == 0 ? 3s : long_prefill);
        answer(rate, long_prompt, number % 5 == 1 ? 20ms : long_prefill);
    }
    CHECK(rate.prefill_time(long_prompt) < long_prefill * 12 / 10);
    CHECK(rate.prefill_time(long_prompt) > long_prefill * 8 / 10);
}

// Prompts queue at a worker. What is ahead of one was expected to take time as
// well, and counts on both sides: the pace stays where it was.
TEST_CASE("a queue that was expected does not change the pace",
          "[reading_pace]")
{
    prefill_rate rate;
    converge(rate);
    for (int number = 0; number < 40; ++number)
        rate.observe(long_prompt, rate.prefill_time(long_prompt) * 3,
                     long_prefill * 3);
    CHECK(rate.prefill_time(long_prompt) < long_prefill * 12 / 10);
    CHECK(rate.prefill_time(long_prompt) > long_prefill * 8 / 10);
}
