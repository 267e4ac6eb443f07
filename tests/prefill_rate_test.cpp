#include "prefill_rate.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// 30 microseconds per token.
constexpr std::uint32_t long_prompt = 10'000;
constexpr duration long_prefill = 300ms;

/// Reports an answer after `took` to a prompt whose expected time follows from
/// the rate.
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

TEST_CASE("the prefill rate is learned from long prompts", "[reading_pace]")
{
    prefill_rate rate;
    converge(rate);
    CHECK(rate.prefill_time(long_prompt) > long_prefill * 9 / 10);
    CHECK(rate.prefill_time(long_prompt) < long_prefill * 11 / 10);
}

TEST_CASE("short prompts do not change the prefill rate", "[reading_pace]")
{
    prefill_rate rate;
    converge(rate);
    duration const before = rate.prefill_time(long_prompt);
    for (int number = 0; number < 40; ++number)
        answer(rate, 100, 200ms);
    CHECK(rate.prefill_time(long_prompt) == before);
}

TEST_CASE("a few outliers do not change the prefill rate", "[reading_pace]")
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

// Prompts queue at a worker. The expected time of the queue ahead counts in the
// expected and in the actual time, so that the rate does not change.
TEST_CASE("an expected queue does not change the prefill rate",
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
