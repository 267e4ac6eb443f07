#include "peer_streams.hpp"
#include "stream_records.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

service_id const service("engine");
software_version const v1("v1");
software_version const v2("v2");
constexpr time_point now{1000s};

stream_record record(std::string const& stream, software_version const& at,
                     duration left = 10s)
{
    return {request_id(stream), service, at, now + left};
}

} // namespace

TEST_CASE("the first record of a stream counts until it ends",
          "[stream_records]")
{
    stream_records records(8);
    records.add(record("a", v1), now);
    records.add(record("a", v2), now);
    CHECK(records.find(request_id("a"), service, now) == v1);
    CHECK_FALSE(records.find(request_id("a"), service_id("other"), now));
    CHECK_FALSE(records.find(request_id("b"), service, now));
    CHECK_FALSE(records.find(request_id("a"), service, now + 10s));
    records.add(record("a", v2, 30s), now + 10s);
    CHECK(records.find(request_id("a"), service, now + 10s) == v2);
}

TEST_CASE("the oldest records give way", "[stream_records]")
{
    stream_records records(4);
    for (int number = 0; number < 10; ++number)
        records.add(record(fmt::format("s{}", number), v1), now);
    CHECK(records.size() == 4);
    CHECK_FALSE(records.find(request_id("s5"), service, now));
    CHECK(records.find(request_id("s6"), service, now) == v1);
    records.add(record("", v1), now);
    records.add(record("ended", v1, 0s), now);
    CHECK(records.size() == 4);
}

// Guards against losing records of running streams when the VMs tell each other
// again of streams that they know.
TEST_CASE("a record that is known already displaces no other",
          "[stream_records]")
{
    stream_records records(4);
    for (int number = 0; number < 4; ++number)
        records.add(record(fmt::format("s{}", number), v1), now);
    for (int number = 1; number < 4; ++number)
        records.add(record(fmt::format("s{}", number), v2), now);
    for (int number = 0; number < 4; ++number)
        CHECK(records.find(request_id(fmt::format("s{}", number)), service,
                           now) == v1);
}

// Guards against losing the record of a long stream behind many short ones that
// have ended.
TEST_CASE("records of ended streams give way before others", "[stream_records]")
{
    stream_records records(4);
    records.add(record("long", v1, 60s), now);
    for (int number = 0; number < 1000; ++number)
    {
        time_point const at = now + number * 20ms;
        records.add(
            {request_id(fmt::format("s{}", number)), service, v2, at + 50ms},
            at);
        CHECK(records.size() <= 4);
    }
    CHECK(records.find(request_id("long"), service, now + 20s) == v1);
}

// Guards against a record that is dropped when the one before it of the same
// stream would have ended.
TEST_CASE("a record of a stream that begins again counts until its own end",
          "[stream_records]")
{
    stream_records records(4);
    records.add(record("a", v1, 1s), now);
    records.add({request_id("a"), service, v2, now + 9s}, now + 1s);
    records.add({request_id("b"), service, v1, now + 9s}, now + 2s);
    CHECK(records.find(request_id("a"), service, now + 2s) == v2);
    CHECK(records.size() == 2);
}

// Guards against asking other VMs than those that were told.
TEST_CASE("all VMs name the same keepers of a stream", "[stream_records]")
{
    std::vector<vm_id> vms;
    for (int number = 0; number < 7; ++number)
        vms.emplace_back(fmt::format("vm-{}", number));
    std::vector<vm_id> const reversed(vms.rbegin(), vms.rend());
    request_id const stream("9c41d07be2a35f68");
    auto const keepers = record_keepers(stream, vms);
    CHECK(keepers.size() == 3);
    CHECK(record_keepers(stream, reversed) == keepers);
    // A VM that leaves changes none of the others.
    std::erase(vms, keepers[1]);
    auto const after = record_keepers(stream, vms);
    CHECK(after[0] == keepers[0]);
    CHECK(after[1] == keepers[2]);
    CHECK(record_keepers(stream, {vm_id("a")}) == std::vector{vm_id("a")});
}

TEST_CASE("messages about streams are read as they were written",
          "[stream_records]")
{
    stream_message message{
        service, {record("a", v1), record("b", {}, 5s)}, request_id("c")};
    auto const text = encode_stream_message(message, "10.0.0.1", now);
    auto const body = text.substr(text.find("\r\n\r\n") + 4);
    CHECK(decode_stream_message(body, now) == message);
    for (stream_reply const& reply :
         {stream_reply{}, stream_reply{v1, std::nullopt, {v1, v2}},
          stream_reply{std::nullopt, software_version(), {}}})
        CHECK(decode_stream_reply(encode_stream_reply(reply)) == reply);
}

TEST_CASE("malformed messages about streams are refused", "[stream_records]")
{
    for (char const* const text :
         {"", "[]", "{}", R"({"service":"s"})", R"({"service":"s","began":1})",
          R"({"service":"s","began":[["a","v1"]]})",
          R"({"service":"s","began":[["a","v1",-1]]})",
          R"({"service":"s","began":[],"stream":7})",
          R"({"service":"","began":[]})"})
    {
        CAPTURE(text);
        CHECK_FALSE(decode_stream_message(text, now));
    }
    for (char const* const text :
         {"", "{}", R"({"established":[1]})", R"({"established":[],"only":1})",
          R"({"established":[],"software":[]})"})
    {
        CAPTURE(text);
        CHECK_FALSE(decode_stream_reply(text));
    }
}
