#include "bounded_ring.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <thread>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

auto far_deadline()
{
    return std::chrono::steady_clock::now() + 20s;
}
auto now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

TEST_CASE("the ring is a FIFO queue that rejects values when full",
          "[bounded_ring]")
{
    CHECK(rc::check(
        [](std::vector<bool> const& pushes)
        {
            constexpr std::size_t capacity = 3;
            bounded_ring<int> ring(capacity);
            std::deque<int> model;
            int next = 0;
            for (bool const push : pushes)
            {
                if (push)
                {
                    bool const fits = model.size() < capacity;
                    RC_ASSERT(ring.try_push(++next) == fits);
                    if (fits)
                        model.push_back(next);
                    continue;
                }
                auto const value = ring.pop(now());
                RC_ASSERT(value.has_value() == !model.empty());
                if (model.empty())
                    continue;
                RC_ASSERT(*value == model.front());
                model.pop_front();
            }
            RC_ASSERT(ring.size() == model.size());
        }));
}

TEST_CASE("values of many producers arrive once, each producer's in order",
          "[bounded_ring]")
{
    constexpr int producers = 4;
    constexpr int each = 2000;
    bounded_ring<std::pair<int, int>> ring(8);
    std::vector<std::thread> threads;
    threads.reserve(producers);
    for (int producer = 0; producer < producers; ++producer)
    {
        threads.emplace_back(
            [&ring, producer]
            {
                for (int i = 0; i < each; ++i)
                {
                    while (!ring.try_push({producer, i}))
                        std::this_thread::yield();
                }
            });
    }
    std::vector<int> next(producers, 0);
    bool in_order = true;
    for (int i = 0; i < producers * each; ++i)
    {
        auto const value = ring.pop(far_deadline());
        REQUIRE(value);
        in_order = in_order && value->second == next[value->first]++;
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK(in_order);
    CHECK(ring.size() == 0);
}

TEST_CASE("wake and close end the consumer's wait", "[bounded_ring]")
{
    bounded_ring<std::unique_ptr<int>> ring(1);
    std::thread waker([&] { ring.wake(); });
    CHECK_FALSE(ring.pop(far_deadline()));
    waker.join();

    CHECK(ring.try_push(std::make_unique<int>(7)));
    std::thread closer([&] { ring.close(); });
    closer.join();
    CHECK_FALSE(ring.try_push(std::make_unique<int>(8)));
    CHECK(*ring.pop(far_deadline()).value() == 7);
    CHECK_FALSE(ring.pop(far_deadline()));
    CHECK(ring.closed());
}
