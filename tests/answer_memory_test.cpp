#include "answer_memory.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace mulberry;

namespace
{

constexpr std::size_t capacity = 16UL * 1024 * 1024;
constexpr std::size_t largest = 8UL * 1024 * 1024;
constexpr std::size_t read_size = 4096;

/// Answers without end: each grows until it is over its limit, and is cut.
std::size_t grow_all(answer_memory& memory,
                     std::vector<std::unique_ptr<buffered_bytes>>& answers)
{
    std::size_t most = 0;
    std::vector<std::size_t> sizes(answers.size(), 0);
    for (bool grown = true; grown;)
    {
        grown = false;
        for (std::size_t number = 0; number < answers.size(); ++number)
        {
            if (sizes[number] + read_size > memory.limit(largest))
                continue;
            sizes[number] += read_size;
            answers[number]->set(sizes[number]);
            most = std::max(most, memory.held());
            grown = true;
        }
    }
    return most;
}

} // namespace

TEST_CASE("without a capacity each answer has its own bound only",
          "[answer_memory]")
{
    answer_memory memory;
    buffered_bytes answer(memory);
    answer.set(largest * 100);
    CHECK(memory.limit(largest) == largest);
}

// Guards against a process that is killed for its memory by answers each of
// which is within its bound.
TEST_CASE("answers without end keep to the capacity together",
          "[answer_memory]")
{
    auto const count = GENERATE(as<std::size_t>{}, 1, 10, 100, 1000);
    CAPTURE(count);
    answer_memory memory(capacity);
    std::vector<std::unique_ptr<buffered_bytes>> answers;
    for (std::size_t number = 0; number < count; ++number)
        answers.push_back(std::make_unique<buffered_bytes>(memory));
    CHECK(grow_all(memory, answers) <= capacity);
    // One more answer of usual size has room beside them.
    CHECK(memory.limit(largest) >= answer_memory::always_allowed);
    answers.clear();
    CHECK(memory.held() == 0);
    CHECK(memory.limit(largest) == largest);
}

// Guards against callers that read slowly and leave no room for answers that
// are being read.
TEST_CASE("a usual answer is taken while unsent bytes use up the capacity",
          "[answer_memory]")
{
    answer_memory memory(capacity);
    std::size_t unsent = capacity * 2;
    memory.set_unsent([&] { return unsent; });
    CHECK(memory.held() == capacity * 2);
    CHECK(memory.limit(largest) == answer_memory::always_allowed);
    unsent = capacity / 2;
    CHECK(memory.limit(largest) == capacity / 2);
}
