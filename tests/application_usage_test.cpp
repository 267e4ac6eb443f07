// The division of slot time among applications neither adds nor loses time.
#include "dispatch_meter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <chrono>

using namespace mulberry;
using namespace std::chrono_literals;

TEST_CASE("the applications' slot times add up to the worker's", "[dispatch]")
{
    CHECK(rc::check(
        []
        {
            constexpr std::size_t steps = 40;
            std::array<application_id, 3> const names{
                application_id("a"), application_id("b"), application_id("c")};
            std::array<std::size_t, 3> queued{};
            std::array<std::size_t, 3> running{};
            time_point now(1h);
            dispatch_meter meter(4, now);
            for (std::size_t step = 0; step < steps; ++step)
            {
                now += duration(*rc::gen::inRange(0, 5000));
                meter.advance(running[0] + running[1] + running[2],
                              queued[0] + queued[1] + queued[2], now);
                auto const at = *rc::gen::inRange<std::size_t>(0, 3);
                if (running[at] > 0 && *rc::gen::arbitrary<bool>())
                {
                    --running[at];
                    meter.usage.ended(names[at]);
                }
                else if (queued[at] > 0 && *rc::gen::arbitrary<bool>())
                {
                    --queued[at];
                    ++running[at];
                    meter.usage.left_queue(names[at]);
                    meter.usage.started(names[at]);
                }
                else
                {
                    ++queued[at];
                    meter.usage.queued(names[at]);
                }
            }
            duration busy{};
            duration open{};
            for (auto const& [name, used] : meter.usage.take())
            {
                busy += used.busy_slot_time;
                open += used.open_slot_time;
            }
            RC_ASSERT(busy == meter.totals.busy_slot_time);
            // Each division rounds down by less than 1 us.
            RC_ASSERT(open <= meter.totals.open_slot_time);
            RC_ASSERT(meter.totals.open_slot_time - open <=
                      duration(steps * names.size()));
            RC_ASSERT(meter.usage.take().empty());
        }));
}
