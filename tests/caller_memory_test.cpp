#include "caller_memory.hpp"

#include <catch2/catch.hpp>

#include <list>
#include <memory>
#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
constexpr std::size_t capacity = 24 * megabyte;
constexpr std::size_t largest = 4 * megabyte;
constexpr std::size_t read_size = 8 * kilobyte;
constexpr std::size_t small_request = 20 * kilobyte;
constexpr std::size_t connection_bytes = 76 * kilobyte;

/// A caller that sends a body.
class sender final : public memory_holder
{
public:
    explicit sender(caller_memory& memory)
        : charge_(std::make_unique<request_memory>(memory, *this))
    {
    }

    /// Returns false if it was refused, or yielded before.
    bool send(std::size_t bytes, time_point now)
    {
        if (yielded || refused)
            return false;
        refused = !charge_->grow(bytes, now);
        if (refused)
            charge_.reset();
        return !refused;
    }
    bool send_all(std::size_t bytes, time_point now)
    {
        while (this->bytes() < bytes)
            if (!send(read_size, now))
                return false;
        return true;
    }
    void complete() { charge_->complete(); }
    std::size_t bytes() const { return charge_ ? charge_->bytes() : 0; }
    void yield_request() override { yielded = true; }

    bool yielded = false;
    bool refused = false;

private:
    /// Null once it was refused.
    std::unique_ptr<request_memory> charge_;
};

time_point const start(1h);

/// Callers that send in turn until each is complete, refused or has yielded.
std::size_t send_in_turn(std::list<sender>& crowd, caller_memory const& memory)
{
    std::size_t most = 0;
    for (bool more = true; more;)
    {
        more = false;
        for (sender& each : crowd)
        {
            if (each.refused || each.yielded || each.bytes() >= largest)
                continue;
            more |= each.send(read_size, start);
            most = std::max(most, memory.held());
        }
    }
    return most;
}

} // namespace

TEST_CASE("without a capacity everything is taken in", "[caller_memory]")
{
    caller_memory memory;
    sender caller(memory);
    CHECK(caller.send_all(100 * largest, start));
    connection_memory connection;
    CHECK(connection.reserve(memory, 1000 * largest, start));
    CHECK_FALSE(memory.left());
}

// Guards against a process that is killed for its memory by requests each of
// which is within its limits.
TEST_CASE("requests keep to the capacity together", "[caller_memory]")
{
    auto const count = GENERATE(as<std::size_t>{}, 1, 2, 10, 100, 2000);
    CAPTURE(count);
    caller_memory memory(capacity);
    std::list<sender> crowd;
    for (std::size_t number = 0; number < count; ++number)
        crowd.emplace_back(memory);
    CHECK(send_in_turn(crowd, memory) <= capacity);
    CHECK(memory.requests() > 0);
    crowd.clear();
    CHECK(memory.held() == 0);
}

TEST_CASE("one request of the largest size is taken in", "[caller_memory]")
{
    SECTION("alone, where half of the capacity would not do")
    {
        caller_memory memory(largest + read_size);
        sender caller(memory);
        CHECK(caller.send_all(largest, start));
    }
    SECTION("beside small ones")
    {
        caller_memory memory(capacity);
        std::list<sender> others;
        for (int number = 0; number < 20; ++number)
            others.emplace_back(memory).send_all(small_request, start);
        sender caller(memory);
        CHECK(caller.send_all(largest, start));
    }
}

// Guards against callers that are refused while a crowd holds the memory and
// sends nothing more.
TEST_CASE("small requests are taken in while large ones stay short of their "
          "end",
          "[caller_memory]")
{
    caller_memory memory(capacity);
    std::list<sender> crowd;
    for (int number = 0; number < 60; ++number)
        crowd.emplace_back(memory);
    send_in_turn(crowd, memory);
    std::list<sender> small;
    for (int number = 0; number < 500; ++number)
    {
        CAPTURE(number);
        CHECK(small.emplace_back(memory).send_all(small_request, start));
        small.back().complete();
        CHECK(memory.held() <= capacity);
    }
    CHECK(std::any_of(crowd.begin(), crowd.end(),
                      [](sender const& each) { return each.yielded; }));
    CHECK(std::none_of(small.begin(), small.end(),
                       [](sender const& each) { return each.yielded; }));
}

// Guards against a crowd whose requests are complete, and so cannot yield.
TEST_CASE("small requests are taken in while large ones are handled",
          "[caller_memory]")
{
    caller_memory memory(capacity);
    std::list<sender> crowd;
    for (int number = 0; number < 60; ++number)
    {
        if (crowd.emplace_back(memory).send_all(largest, start))
            crowd.back().complete();
        else
            crowd.pop_back();
    }
    CHECK(crowd.size() >= 4);
    std::list<sender> small;
    for (int number = 0; number < 50; ++number)
        CHECK(small.emplace_back(memory).send_all(small_request, start));
    CHECK(std::none_of(crowd.begin(), crowd.end(),
                       [](sender const& each) { return each.yielded; }));
}

TEST_CASE("of requests that make progress the largest yields",
          "[caller_memory]")
{
    caller_memory memory(10 * megabyte + megabyte / 2);
    sender large(memory);
    sender larger(memory);
    sender asking(memory);
    CHECK(large.send_all(3 * megabyte, start));
    CHECK(larger.send_all(3 * megabyte + read_size, start));
    CHECK(asking.send_all(2 * megabyte, start));
    CHECK_FALSE(large.yielded);
    SECTION("to a smaller one")
    {
        CHECK(asking.send_all(2 * megabyte + megabyte / 2, start));
        CHECK(larger.yielded);
        CHECK(memory.counts().yielded == 1);
    }
    SECTION("but not to a larger one")
    {
        CHECK(larger.send(megabyte, start) == false);
        CHECK_FALSE(large.yielded);
        CHECK_FALSE(asking.yielded);
        CHECK(memory.counts().refused == 1);
    }
}

TEST_CASE("a request that makes no progress yields to any other",
          "[caller_memory]")
{
    caller_memory memory(12 * megabyte);
    sender stalled(memory);
    sender sending(memory);
    sender asking(memory);
    CHECK(stalled.send_all(2 * megabyte, start));
    time_point const later = start + caller_memory::stall_time;
    CHECK(sending.send_all(3 * megabyte, later));
    CHECK(asking.send_all(largest, later));
    CHECK(stalled.yielded);
    CHECK(stalled.bytes() == 0);
    CHECK_FALSE(sending.yielded);
}

TEST_CASE("connections of callers take half of the capacity at most",
          "[caller_memory]")
{
    caller_memory memory(capacity);
    std::vector<connection_memory> connections;
    for (connection_memory next; next.reserve(memory, connection_bytes, start);
         next = {})
        connections.push_back(std::move(next));
    CHECK(connections.size() == capacity / 2 / connection_bytes);
    CHECK(memory.connections() == connections.size() * connection_bytes);
    sender caller(memory);
    CHECK(caller.send_all(largest, start));
    connections.pop_back();
    connection_memory next;
    CHECK(next.reserve(memory, connection_bytes, start));
    connection_memory worker;
    worker.hold_for_worker(memory, connection_bytes);
    CHECK(memory.worker_connections() == connection_bytes);
}

TEST_CASE("a request yields to a connection", "[caller_memory]")
{
    caller_memory memory(largest + 2 * read_size);
    sender large(memory);
    CHECK(large.send_all(largest, start));
    connection_memory connection;
    CHECK(connection.reserve(memory, connection_bytes, start));
    CHECK(large.yielded);
}

TEST_CASE("answers leave less for requests", "[caller_memory]")
{
    caller_memory memory(capacity);
    std::size_t answers = capacity - 3 * megabyte;
    memory.set_answers([&answers] { return answers; });
    sender caller(memory);
    sender other(memory);
    CHECK(other.send(read_size, start));
    CHECK_FALSE(caller.send_all(largest, start));
    answers = 0;
    sender later(memory);
    CHECK(later.send_all(largest, start));
}
