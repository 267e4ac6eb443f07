#include "store_meter.hpp"

#include "memory_row_store.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

bool has_metric(store_meter const& meter, std::string const& line)
{
    return meter.metrics().find("mulberry_" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("calls are counted by kind and outcome", "[store_meter]")
{
    memory_row_store store;
    store.put(row_set::workers, row_kind::worker, "w", "ready");
    store_meter meter(store);
    std::size_t answered = 0;
    auto const count = [&answered](store_reply const&) { ++answered; };
    meter.read(row_set::workers, "", "", 1s, count);
    meter.watch(row_set::workers, row_version(0), 0s, 1s, count);
    meter.transact(row_set::own, {{{"vm/a", row_version(7)}}, {}}, 1s, count);
    store.set_down(true);
    meter.read(row_set::workers, "", "", 1s, count);
    CHECK(answered == 4);
    CHECK(has_metric(meter,
                     R"(store_calls_total{call="read",outcome="done"} 1)"));
    CHECK(has_metric(meter,
                     R"(store_calls_total{call="read",outcome="refused"} 1)"));
    CHECK(has_metric(meter,
                     R"(store_calls_total{call="watch",outcome="done"} 1)"));
    CHECK(has_metric(
        meter, R"(store_calls_total{call="transact",outcome="conflict"} 1)"));
    CHECK(has_metric(meter, "store_rows_read_total 2"));
}
