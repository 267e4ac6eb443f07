#include "software_record.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

service_id const service("engine");
software_version const v1("v1");
software_version const v2("v2");
constexpr duration retention = 16s;
constexpr time_point start{1000s};

constexpr duration validity = 3s;

software_view view(std::set<software_version> const& listed,
                   std::set<software_version> const& established = {},
                   bool complete = false, time_point as_of = start)
{
    return {listed, established, complete, retention, listed, as_of, validity};
}

/// Carries the write out, as the store does, and returns what was written.
std::optional<software_record> carry_out(software_record_writer& writer,
                                         time_point now)
{
    auto const transaction = writer.take_write(now);
    if (!transaction)
        return std::nullopt;
    REQUIRE(transaction->writes.size() == 1);
    REQUIRE(transaction->conditions.size() == 1);
    writer.on_written(true);
    return parse_software_record(*transaction->writes.front().value);
}

} // namespace

TEST_CASE("a record is read as it was written", "[software_record]")
{
    for (software_record const& each :
         {software_record{}, software_record{{v1, v2}, {v1}, true},
          software_record{{v1}, {v1}, true, 20s}})
        CHECK(parse_software_record(software_record_text(each)) == each);
    CHECK(parse_software_record_key(software_record_key(service)) == service);
    CHECK_FALSE(parse_software_record_key("software/"));
    CHECK_FALSE(parse_software_record_key("vm/software/a"));
}

// Guards against rows of another writer.
TEST_CASE("malformed records are refused", "[software_record]")
{
    for (char const* const text :
         {"", "[]", "{}", R"({"complete":true,"established":[]})",
          R"({"complete":1,"established":[],"versions":[]})",
          R"({"complete":true,"established":["v1"],"versions":[]})",
          R"({"complete":true,"established":[],"versions":[1]})",
          R"({"complete":true,"established":{},"versions":["v1"]})",
          R"({"complete":true,"established":[],"longest_stream_ms":-1,
              "versions":["v1"]})",
          R"({"complete":true,"established":[],"longest_stream_ms":"1",
              "versions":["v1"]})"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_software_record(text));
    }
}

// Guards against times that overflow.
TEST_CASE("a huge time in a record is limited", "[software_record]")
{
    auto const record = parse_software_record(
        R"({"complete":true,"established":[],
            "longest_stream_ms":18446744073709551615,"versions":["v1"]})");
    REQUIRE(record);
    CHECK(record->longest_stream > 1h);
    CHECK(start + 2 * record->longest_stream > start);
}

TEST_CASE("a record without a time is read", "[software_record]")
{
    CHECK(parse_software_record(
              R"({"complete":true,"established":["v1"],"versions":["v1"]})") ==
          software_record{{v1}, {v1}, true});
}

TEST_CASE("versions are recorded once they are listed", "[software_record]")
{
    software_record_writer writer;
    writer.set_view(service, view({v1}, {v1}), start);
    CHECK(carry_out(writer, start) == software_record{{v1}, {v1}, false});
    writer.on_row(service, software_record{{v1}, {v1}, false}, row_version(7),
                  start + 3s);
    CHECK_FALSE(writer.take_write(start + 4s));
    writer.set_view(service, view({v1, v2}, {v1}), start + 5s);
    CHECK(carry_out(writer, start + 5s) ==
          software_record{{v1, v2}, {v1}, false});
}

TEST_CASE("a version that is established or complete is recorded as such",
          "[software_record]")
{
    software_record_writer writer;
    writer.on_row(service, software_record{{v1, v2}, {v1}, false},
                  row_version(7), start);
    writer.set_view(service, view({v1, v2}, {v1, v2}, true), start);
    CHECK(carry_out(writer, start) ==
          software_record{{v1, v2}, {v1, v2}, true});
}

// Guards against forgetting a version while its streams may be running, and
// against removing it before all VMs have read that it is not established.
TEST_CASE("a version is removed long after it has left", "[software_record]")
{
    software_record_writer writer;
    software_record const both{{v1, v2}, {v1, v2}, true};
    software_record row = both;
    row_version version(7);
    std::optional<time_point> demoted;
    std::optional<time_point> removed;
    for (time_point now = start; now < start + 3 * retention; now += 1s)
    {
        // The version returns for a moment.
        bool const is_back = now == start + 5s;
        writer.on_row(service, row, version, now);
        writer.set_view(service,
                        is_back ? view({v1, v2}, {v2}, true, now)
                                : view({v2}, {v2}, true, now),
                        now);
        auto const written = carry_out(writer, now);
        if (!written)
            continue;
        row = *written;
        version = row_version(version.value() + 1);
        if (row.established == std::set{v2} && !demoted)
            demoted = now;
        if (row.versions == std::set{v2} && !removed)
            removed = now;
    }
    REQUIRE(demoted);
    REQUIRE(removed);
    CHECK(*removed >= start + 6s + retention);
    CHECK(*removed >= *demoted + validity);
    CHECK(row == software_record{{v2}, {v2}, true});
}

// Guards against every VM writing the same record at once.
TEST_CASE("VMs of lower rank write later", "[software_record]")
{
    software_record_writer writer;
    writer.set_rank(2);
    writer.set_view(service, view({v1}, {v1}), start);
    CHECK_FALSE(writer.take_write(start));
    CHECK(writer.next_due() > start);
    REQUIRE(writer.next_due() <= start + 1s);
    writer.set_view(service, view({v1}, {v1}), start + 100ms);
    CHECK(writer.take_write(start + 1s));
}

// Guards against writing again and again where another VM was faster.
TEST_CASE("a record that conflicted is read before it is written again",
          "[software_record]")
{
    software_record_writer writer;
    writer.set_view(service, view({v1}, {v1}), start);
    REQUIRE(writer.take_write(start));
    writer.on_written(false);
    writer.set_view(service, view({v1}, {v1}), start + 1s);
    CHECK_FALSE(writer.take_write(start + 1s));
    writer.on_row(service, software_record{{v1}, {v1}, true}, row_version(3),
                  start + 2s);
    CHECK(writer.next_due() == never);
}

// Guards against forgetting versions when this VM has not read the list.
TEST_CASE("a VM without a list writes nothing", "[software_record]")
{
    software_record_writer writer;
    writer.on_row(service, software_record{{v1}, {v1}, true}, row_version(7),
                  start);
    writer.set_view(service, view({}), start);
    CHECK(writer.next_due() == never);
    CHECK_FALSE(writer.take_write(start + 1h));
}
