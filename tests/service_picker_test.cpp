#include "service_picker.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

constexpr time_point start{};

service_worker_id const a1("a1");
service_worker_id const a2("a2");
service_worker_id const b1("b1");

service_declaration two_domains()
{
    service_declaration service;
    service.id = service_id("split-api");
    service.workers = {{a1, domain_id("a"), ""},
                       {a2, domain_id("a"), ""},
                       {b1, domain_id("b"), ""}};
    return service;
}

} // namespace

TEST_CASE("the worker with the fewest outstanding calls is picked")
{
    service_declaration const service = two_domains();
    service_picker picker(1);
    picker.started(service.id, a1);
    picker.started(service.id, b1);
    CHECK(picker.pick(service, {}, start) == a2);
    picker.started(service.id, a2);
    picker.started(service.id, a2);
    picker.succeeded(service.id, b1);
    CHECK(picker.pick(service, {}, start) == b1);
    CHECK_FALSE(picker.pick(service_declaration{}, {}, start));
}

TEST_CASE("a retry goes to another failure domain")
{
    service_declaration const service = two_domains();
    service_picker picker(1);
    for (int call = 0; call < 5; ++call)
        picker.started(service.id, b1);
    CHECK(picker.pick(service, {a1}, start) == b1);
    CHECK(picker.pick(service, {a1, b1}, start) == a2);
}

// Guards against a worker that refuses every connection immediately and,
// having the fewest outstanding calls, attracts all calls.
TEST_CASE("a worker that fails is avoided, then tried with one call")
{
    service_declaration const service = two_domains();
    service_picker picker(1);
    picker.started(service.id, a1);
    picker.failed(service.id, a1, start);
    for (service_worker_id const& other : {a2, b1})
        picker.started(service.id, other);
    CHECK(picker.pick(service, {}, start) != a1);
    time_point const later = start + std::chrono::milliseconds(100);
    CHECK(picker.pick(service, {}, later) == a1);
    picker.started(service.id, a1);
    CHECK(picker.pick(service, {}, later) != a1);
    picker.failed(service.id, a1, later);
    CHECK(picker.pick(service, {}, later + std::chrono::milliseconds(150)) !=
          a1);
    picker.started(service.id, a1);
    picker.succeeded(service.id, a1);
    CHECK(picker.pick(service, {}, later) == a1);
    // An avoided worker is chosen rather than refusing the call when there is
    // no other.
    service_declaration alone = service;
    alone.workers = {service.workers.front()};
    picker.failed(service.id, a1, later);
    CHECK(picker.pick(alone, {}, later) == a1);
}
