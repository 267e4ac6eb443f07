#include "relay_settings.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

std::string settings_with(std::string const& more)
{
    return R"({ // one VM
        "vm": "vm-1", "domain": "a", "callers": "10.0.0.1:80",
        "readiness": "10.0.0.1:81", "peers": "10.0.0.1:82",
        "store_url": "http://10.0.0.9:80")" +
           more + "}";
}

std::size_t fault_count(std::string const& text)
{
    auto const parsed = parse_relay_settings(text, "file");
    auto const* faults = std::get_if<std::vector<text_fault>>(&parsed);
    return faults == nullptr ? 0 : faults->size();
}

} // namespace

TEST_CASE("settings are read and omitted ones take defaults",
          "[relay_settings]")
{
    auto const parsed = parse_relay_settings(
        settings_with(R"(, "order_gap_ms": 2000, "stop_bound_s": 4.5)"),
        "file");
    auto const& value = std::get<relay_settings>(parsed);
    CHECK(value.vm == vm_id("vm-1"));
    CHECK(value.callers.address == "10.0.0.1");
    CHECK(value.callers.port == 80);
    CHECK(value.order_gap == 2000ms);
    CHECK(value.stop_bound == 4500ms);
    CHECK(value.drain_bound == 2000ms);
    CHECK_FALSE(value.serves_metrics);
    CHECK(value.memory_mb == 0);
    auto const sized =
        parse_relay_settings(settings_with(R"(, "memory_mb": 260)"), "file");
    CHECK(std::get<relay_settings>(sized).memory_mb == 260);
    CHECK(value.caller_memory_mb == 0);
    auto const shared = parse_relay_settings(
        settings_with(R"(, "caller_memory_mb": 50)"), "file");
    CHECK(std::get<relay_settings>(shared).caller_memory_mb == 50);
    CHECK(value.worker_heartbeat == 0ms);
    auto const renewed = parse_relay_settings(
        settings_with(R"(, "worker_heartbeat_ms": 1200)"), "file");
    CHECK(std::get<relay_settings>(renewed).worker_heartbeat == 1200ms);
}

TEST_CASE("every fault is reported", "[relay_settings]")
{
    CHECK(fault_count("{") > 0);
    CHECK(fault_count("{}") == 6);
    CHECK(fault_count(settings_with(R"(, "colour": 1)")) == 1);
    CHECK(fault_count(settings_with(R"(, "metrics": "here")")) == 1);
    CHECK(fault_count(settings_with(R"(, "memory_mb": 0)")) == 1);
    CHECK(fault_count(settings_with(R"(, "caller_memory_mb": 0)")) == 1);
    CHECK(fault_count(settings_with(R"(, "metrics": "10.0.0.1:99999")")) == 1);
    CHECK(fault_count(settings_with(R"(, "worker_heartbeat_ms": 0)")) == 1);
    CHECK(fault_count(settings_with(
              R"(, "retry_ratio": 2, "drain_bound_ms": 0)")) == 2);
}
