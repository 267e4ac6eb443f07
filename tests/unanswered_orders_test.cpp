#include "unanswered_orders.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

worker_order load_with_number(std::uint64_t number)
{
    worker_order order;
    order.kind = order_kind::load;
    order.model = base_model_id("m");
    order.adapter = adapter_id("a" + std::to_string(number));
    order.expected_sequence = number;
    return order;
}

} // namespace

// Guards against overfilling a restarted worker with a late load of its earlier
// incarnation, which carried out many loads whose first answers were late.
TEST_CASE("a late load keeps its slot for the retention time however many "
          "orders follow",
          "[unanswered_orders]")
{
    std::uint64_t const count = GENERATE(10, 256, 257, 2000);
    late_order_limits const limits;
    unanswered_orders orders(limits);
    time_point now = start;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        // The first send is answered late, and the order is sent again.
        now = start + (limits.retention - 1s) * number / count;
        orders.on_sent(load_with_number(number), now);
        orders.on_sent(load_with_number(number), now);
        orders.on_answered(load_with_number(number));
    }
    orders.expire(start + limits.retention - 1s);
    CHECK(orders.reserved_slots(0, now) == 1);
    worker_order unload = load_with_number(0);
    unload.kind = order_kind::unload;
    CHECK(orders.may_be_displaced(unload));
}

TEST_CASE("orders older than the retention time are forgotten",
          "[unanswered_orders]")
{
    unanswered_orders orders;
    for (std::uint64_t number = 0; number < 2000; ++number)
    {
        time_point const now = start + number * 10s;
        orders.on_sent(load_with_number(number), now);
        CHECK(orders.size() <= 512);
    }
    orders.expire(start + 2000 * 10s + 10min);
    CHECK(orders.empty());
    CHECK(orders.size() == 0);
}
