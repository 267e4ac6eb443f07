#include "settings.hpp"

#include "fault_check.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

using lines = std::vector<std::string>;

/// Valid settings with more members added at their end.
std::string with(std::string const& members)
{
    return R"({"vm": "vm-1", "domain": "aswan-a", "deployment": "trust",
"callers": {"address": "10.0.0.1", "port": 8080},
"peers": {"port": 8081}, "operators": {"port": 0},
"peers_key": "p", "operators_key": "o",
"table_url": "http://10.0.0.9:80", "objects_url": "http://10.0.0.9:80",
"vms_url": "http://[::1]:80/x" /* the last */)" +
           members + "}";
}

lines faults(std::string const& text)
{
    return fault_lines(parse_settings(text, "vm.jsonc"));
}

} // namespace

TEST_CASE("given settings override the defaults", "[settings]")
{
    auto const parsed = parse_settings(
        with(R"(, "lease_ms": 2000, "log_format": "json")"), "vm.jsonc");
    CAPTURE(fault_lines(parsed));
    REQUIRE(std::holds_alternative<settings>(parsed));
    auto const& value = std::get<settings>(parsed);
    CHECK(value.vm == vm_id("vm-1"));
    CHECK(value.callers == listen_address{"10.0.0.1", 8080});
    CHECK(value.peers == listen_address{"127.0.0.1", 8081});
    CHECK(value.lease == 2s);
    CHECK(value.heartbeat == settings().heartbeat);
    CHECK(value.log_format == "json");
}

TEST_CASE("each missing required setting is reported by name", "[settings]")
{
    lines const found = faults("{}");
    CHECK(found.size() == 11);
    CHECK(found.front() == "vm.jsonc:1: vm: is missing");
}

TEST_CASE("values out of range or of the wrong type are refused", "[settings]")
{
    CHECK(faults(with(R"(,
"lease_ms": "3s",
"max_body_bytes": -1,
"seed": 18446744073709551616,
"log_level": "inof",
"caller_thread": 2,
"load_budget": "even")")) ==
          lines{"vm.jsonc:7: lease_ms: a whole number is expected, not a text",
                "vm.jsonc:8: max_body_bytes: -1 is out of range: a whole "
                "number from 1024 to 1073741824",
                "vm.jsonc:9: seed: 1.8446744073709552e+19 is out of range: a "
                "whole number from 0 to 18446744073709551615",
                "vm.jsonc:10: log_level: \"inof\" is none of trace, debug, "
                "info, warning, error, fatal; did you mean \"info\"?",
                "vm.jsonc:11: caller_thread: is not a known key; did you mean "
                "\"caller_threads\"?",
                "vm.jsonc:12: load_budget: \"even\" is none of "
                "exchanged_counts, even_split; did you mean "
                "\"even_split\"?"});
}

TEST_CASE("a key without its unit gets a suggestion with the unit",
          "[settings]")
{
    CHECK(faults(with(R"(, "lease": 3)")) ==
          lines{"vm.jsonc:6: lease: is not a known key; did you mean "
                "\"lease_ms\"?"});
}

TEST_CASE("inconsistent durations are refused", "[settings]")
{
    CHECK(faults(with(R"(,
"heartbeat_ms": 1500,
"configuration_poll_ms": 4000,
"default_deadline_ms": 5000, "max_deadline_ms": 1000,
"progress_timeout_ms": 1000)")) ==
          lines{"vm.jsonc:7: heartbeat_ms: 1500 must be less than half of "
                "lease_ms (3000)",
                "vm.jsonc:8: configuration_poll_ms: 4000 must be less than "
                "configuration_bound_ms (4000)",
                "vm.jsonc:9: default_deadline_ms: 5000 must not be more than "
                "max_deadline_ms (1000)",
                "vm.jsonc:10: progress_timeout_ms: 1000 must be less than "
                "max_deadline_ms (1000)"});
}

TEST_CASE(
    "addresses must be numeric, listeners distinct and keys not in faults",
    "[settings]")
{
    std::string text = with("");
    auto const replace = [&text](std::string const& what, std::string const& by)
    { text.replace(text.find(what), what.size(), by); };
    replace("10.0.0.1", "localhost");
    replace("{\"port\": 0}", "{\"port\": 8081}");
    replace("\"o\"", "\"two words\"");
    replace("http://[::1]:80/x", "http://10.0.0.9:99999");
    lines const found = faults(text);
    CHECK(found ==
          lines{"vm.jsonc:2: callers.address: \"localhost\" is not an IP "
                "address in numbers",
                "vm.jsonc:3: operators: has the same address and port as "
                "peers",
                "vm.jsonc:4: operators_key: must be 1 to 256 visible ASCII "
                "characters",
                "vm.jsonc:6: vms_url: \"http://10.0.0.9:99999\" is not of the "
                "form http://IP:PORT or http://IP:PORT/PATH with a numeric "
                "IP"});
}
