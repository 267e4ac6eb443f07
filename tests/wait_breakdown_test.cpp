#include "wait_breakdown.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{100s};

} // namespace

TEST_CASE("each moment of a wait counts for one cause", "[wait_breakdown]")
{
    wait_breakdown waits;
    waits.begin(wait_cause::allotment, start);
    waits.begin(wait_cause::batch_slot, start + 20ms);
    waits.begin(wait_cause::owner_grant, start + 20ms);
    CHECK(waits.waited(wait_cause::owner_grant, start + 33ms) == 13ms);
    waits.end(start + 40ms);
    waits.add(wait_cause::retry, 500us);
    CHECK(waits.waited(wait_cause::allotment, start + 1s) == 20ms);
    CHECK(waits.waited(wait_cause::owner_grant, start + 1s) == 20ms);
    CHECK(waits.text(start + 1s) == "allotment:20,owner_grant:20");
}

TEST_CASE("a wait ends once", "[wait_breakdown]")
{
    wait_breakdown waits;
    waits.begin(wait_cause::adapter_load, start);
    waits.end(start + 10ms);
    waits.end(start + 30ms);
    CHECK(waits.waited(wait_cause::adapter_load, start + 30ms) == 10ms);
}

TEST_CASE("histograms count a request once for each cause that it waited for",
          "[wait_breakdown]")
{
    wait_breakdown waits;
    waits.begin(wait_cause::adapter_load, start);
    waits.end(start + 100ms);
    wait_breakdown longest;
    longest.add(wait_cause::adapter_load, 6s);
    wait_histograms histograms;
    histograms.add(waits, start + 1s);
    histograms.add(longest, start + 1s);
    std::string const text = histograms.text("waits");
    auto const has = [&text](char const* line)
    { return text.find(line) != std::string::npos; };
    CHECK(has("waits_bucket{cause=\"adapter_load\",le=\"0.05\"} 0\n"));
    CHECK(has("waits_bucket{cause=\"adapter_load\",le=\"0.1\"} 1\n"));
    CHECK(has("waits_bucket{cause=\"adapter_load\",le=\"5\"} 1\n"));
    CHECK(has("waits_bucket{cause=\"adapter_load\",le=\"+Inf\"} 2\n"));
    CHECK(has("waits_count{cause=\"adapter_load\"} 2\n"));
    CHECK(has("waits_count{cause=\"allotment\"} 0\n"));
}
