#include "allotment_pool.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

time_point const start{50s};
allotment_id const pits("pits");

allotment_pool pool_of(double per_second, double burst)
{
    allotment_pool pool(0s, 200ms);
    pool.set_allotments(
        {{pits, {allotment_unit::tokens, per_second, burst, 1}}}, start);
    return pool;
}

void delegate_share(allotment_pool& pool, char const* vm, double share,
                    time_point now, duration span)
{
    pool.answer({vm_id(vm), span, {{pits, share, 0, 0}}}, now);
}

double allot(allotment_pool& pool, double min_units, time_point now)
{
    return pool
        .answer({vm_id("asks"), {}, {{pits, 0, min_units, min_units}}}, now)
        .at(0)
        .units;
}

} // namespace

// Guards against a share that still counts at a pool after its VM has gone or
// has delegated the share to another pool.
TEST_CASE("a share brings in units until it expires", "[allotment_pool]")
{
    allotment_pool pool = pool_of(1000, 100'000);
    delegate_share(pool, "a", 0.5, start, 1s);
    delegate_share(pool, "b", 0.01, start, 60s);
    // 500 units from a and 200 from b.
    CHECK(allot(pool, 720, start + 20s) == 0);
    CHECK(allot(pool, 690, start + 20s) == 690);
}

// Guards against exceeding the allotment when VMs disagree on the number of
// members, and against a renewed share that counts twice.
TEST_CASE("shares bring in no more than the allotment", "[allotment_pool]")
{
    allotment_pool pool = pool_of(1000, 100'000);
    for (char const* vm : {"a", "b", "c", "a"})
        delegate_share(pool, vm, 0.6, start, 2s);
    CHECK(allot(pool, 1300, start + 1s) == 0);
    CHECK(allot(pool, 1000, start + 1s) == 1000);
}

TEST_CASE("a pool reports when units are available", "[allotment_pool]")
{
    allotment_pool pool = pool_of(1000, 1000);
    for (char const* vm : {"a", "b"})
        delegate_share(pool, vm, 0.5, start, 1s);
    auto const reply =
        pool.answer({vm_id("c"), {}, {{pits, 0, 600, 600}}}, start);
    CHECK(reply.at(0).units == 0);
    CHECK(reply.at(0).available_in == 600ms);
    CHECK(reply.at(0).retry_in >= 600ms);
    auto const soon =
        pool.answer({vm_id("c"), {}, {{pits, 0, 600, 600}}}, start + 500ms);
    CHECK(soon.at(0).units == 600);
    CHECK(soon.at(0).available_in == 100ms);
    CHECK(pool.answer({vm_id("c"), {}, {{allotment_id("x"), 0, 1, 1}}}, start)
              .empty());
}

// Guards against a retry time that does not fit its type.
TEST_CASE("a team with a tiny allotment is told a bounded retry time",
          "[allotment_pool]")
{
    allotment_pool pool = pool_of(0.01, 1e12);
    delegate_share(pool, "a", 1, start, 1s);
    auto const reply =
        pool.answer({vm_id("c"), {}, {{pits, 0, 1e12, 1e12}}}, start);
    CHECK(reply.at(0).units == 0);
    CHECK(reply.at(0).retry_in > duration(0));
    CHECK(reply.at(0).retry_in <= 5s);
}
