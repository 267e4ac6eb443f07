// Limits that workers name, as one VM hears of them.
#include "worker_limits.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

worker_id const worker("w-1");

time_point at(duration since_start)
{
    return time_point(since_start);
}

/// Knows the limit 3 since 10 s.
worker_limits limited()
{
    worker_limits limits;
    limits.on_answer(worker, 3, at(9s), at(10s));
    return limits;
}

} // namespace

TEST_CASE("no limit is known until a worker names one", "[worker_limits]")
{
    worker_limits limits;
    CHECK_FALSE(limits.on_answer(worker, std::nullopt, at(1s), at(2s)));
    CHECK(limits.empty());
    CHECK(limits.on_answer(worker, 3, at(1s), at(2s)));
    CHECK(limits.limit_of(worker) == 3.0);
}

TEST_CASE("a lower limit binds at once", "[worker_limits]")
{
    worker_limits limits = limited();
    CHECK(limits.on_answer(worker, 2, at(1s), at(11s)));
    CHECK(limits.limit_of(worker) == 2.0);
}

// Guards against an answer that was overtaken and takes back a limit.
TEST_CASE("an answer to an earlier request raises and ends no limit",
          "[worker_limits]")
{
    worker_limits limits = limited();
    std::optional<double> const later =
        GENERATE(std::optional<double>(5.0), std::optional<double>());
    CHECK_FALSE(limits.on_answer(worker, later, at(10s), at(11s)));
    CHECK(limits.limit_of(worker) == 3.0);
    CHECK(limits.on_answer(worker, later, at(11s), at(12s)));
    CHECK(limits.limit_of(worker) == later);
}

TEST_CASE("a limit of 0 leaves the requests that may end it", "[worker_limits]")
{
    worker_limits limits;
    limits.on_answer(worker, 0, at(1s), at(2s));
    CHECK(limits.limit_of(worker).value_or(0) > 0);
}

TEST_CASE("another VM's notice counts if it is newer", "[worker_limits]")
{
    worker_limits limits = limited();
    CHECK_FALSE(limits.on_notice({worker, 2.0, at(10s)}, at(11s)));
    CHECK(limits.on_notice({worker, 2.0, at(10500ms)}, at(11s)));
    CHECK_FALSE(limits.on_notice({worker, std::nullopt, at(10600ms)}, at(11s)));
    CHECK(limits.on_notice({worker, std::nullopt, at(11s)}, at(11s)));
    CHECK_FALSE(limits.is_limited(worker));
}

// Guards against notices that bring an ended limit back.
TEST_CASE("an older notice does not renew an ended limit", "[worker_limits]")
{
    worker_limits limits = limited();
    limits.on_answer(worker, std::nullopt, at(11s), at(12s));
    CHECK_FALSE(limits.on_notice({worker, 3.0, at(11s)}, at(13s)));
    CHECK_FALSE(limits.is_limited(worker));
}

TEST_CASE("what was ended or not heard for long is forgotten",
          "[worker_limits]")
{
    worker_limits limits = limited();
    CHECK_FALSE(limits.forget_past(at(60s)));
    CHECK(limits.forget_past(at(11min)));
    CHECK(limits.empty());
    CHECK_FALSE(limits.on_notice({worker, 3.0, at(10s)}, at(11min)));
    limits = limited();
    limits.on_answer(worker, std::nullopt, at(11s), at(12s));
    CHECK(limits.forget_past(at(30s)));
    CHECK(limits.empty());
}
