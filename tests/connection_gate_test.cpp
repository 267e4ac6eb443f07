#include "connection_gate.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

TEST_CASE("a VM whose event loop is late closes new connections for a while",
          "[connection_gate]")
{
    connection_gate gate;
    time_point const start{1h};
    CHECK(gate.may_open(start));
    gate.on_loop_lag(100ms, start);
    CHECK(gate.may_open(start));
    gate.on_loop_lag(300ms, start);
    CHECK_FALSE(gate.may_open(start + 10ms));
    CHECK_FALSE(gate.may_open(start + 199ms));
    CHECK(gate.may_open(start + 200ms));
    CHECK(gate.closed() == 2);
}

// Guards against a VM that says that it is ready and takes no connection.
TEST_CASE("a VM that stays overloaded takes a connection now and then",
          "[connection_gate]")
{
    connection_gate gate;
    time_point const start{1h};
    int taken = 0;
    for (duration age{}; age < 3s; age += 10ms)
    {
        gate.on_loop_lag(400ms, start + age);
        taken += gate.may_open(start + age);
    }
    CHECK(taken >= 4);
    CHECK(taken <= 7);
}
