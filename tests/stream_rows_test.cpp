#include "memory_row_store.hpp"
#include "stream_row.hpp"
#include "stream_row_keeper.hpp"
#include "stream_row_writer.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

service_id const service("engine");
software_version const v1("v1");
constexpr time_point start{1000s};

stream_record record(std::string const& stream, duration left = 10s)
{
    return {request_id(stream), service, v1, start + left};
}

std::size_t puts(table_transaction const& transaction)
{
    return static_cast<std::size_t>(std::count_if(
        transaction.writes.begin(), transaction.writes.end(),
        [](table_write const& each) { return each.value.has_value(); }));
}

stored_row row_of(stream_record const& each, std::uint64_t version,
                  time_point now)
{
    return {row_kind::own, stream_row_key(each.stream, each.service),
            row_version(version), stream_row_text(each, now), false};
}

} // namespace

TEST_CASE("a stream's row is read as it was written", "[stream_rows]")
{
    for (std::string const& id :
         {std::string("9c41d07be2a35f68"), std::string(4000, 'x'),
          std::string("\"\\/ \t")})
    {
        auto const written = record(id, 1500ms);
        CHECK(stream_row_key(written.stream, service).size() == 16);
        CHECK(parse_stream_row(stream_row_text(written, start), start) ==
              written);
    }
    CHECK(stream_row_key(request_id("a"), service) !=
          stream_row_key(request_id("a"), service_id("other")));
}

// Guards against rows of another writer.
TEST_CASE("malformed rows name no stream", "[stream_rows]")
{
    for (std::string const& text :
         {std::string(), std::string("[]"), std::string("{}"),
          std::string("\xff\xfe"), std::string(100'000, '['),
          std::string(R"({"stream":"a","service":"s","software":"v"})"),
          std::string(
              R"({"stream":1,"service":"s","software":"v","left_ms":1})"),
          std::string(
              R"({"stream":"a","service":"s","software":"v","left_ms":-1})"),
          std::string(
              R"({"stream":"a","service":"s","software":"v","left_ms":1e999})"),
          std::string(
              R"({"stream":"a","service":"s","software":"v","left_ms":"1"})")})
    {
        CAPTURE(text.substr(0, 80));
        CHECK_FALSE(parse_stream_row(text, start));
    }
    auto const longest = parse_stream_row(
        R"({"stream":"a","service":"s","software":"v","left_ms":18446744073709551615})",
        start);
    REQUIRE(longest);
    CHECK(longest->until <= start + 1h);
}

// Guards against a call of the store for each stream.
TEST_CASE("records are written in few transactions", "[stream_rows]")
{
    stream_row_writer writer;
    std::size_t transactions = 0;
    std::size_t written = 0;
    for (int ms = 0; ms < 2000; ms += 10)
    {
        time_point const now = start + std::chrono::milliseconds(ms);
        writer.add(record(fmt::format("s{}", ms), 20s), now);
        if (auto const transaction = writer.take_write(now))
        {
            ++transactions;
            written += puts(*transaction);
            writer.on_written(true, now + 5ms);
        }
    }
    CHECK(written >= 150);
    CHECK(transactions <= 21);
}

TEST_CASE("a full transaction is written at once", "[stream_rows]")
{
    stream_row_writer writer;
    for (int number = 0; number < 120; ++number)
        writer.add(record(fmt::format("s{}", number)), start);
    std::size_t written = 0;
    for (time_point now = start; now < start + 100ms; now += 5ms)
        if (auto const transaction = writer.take_write(now))
        {
            CHECK(transaction->writes.size() <= 100);
            written += puts(*transaction);
            writer.on_written(true, now);
        }
    CHECK(written >= 100);
}

// Guards against losing records when the store refuses a call or its answer is
// lost.
TEST_CASE("records are written again after a failure", "[stream_rows]")
{
    stream_row_writer writer;
    writer.add(record("a"), start);
    auto const first = writer.take_write(start);
    REQUIRE(first);
    CHECK_FALSE(writer.take_write(start + 1s));
    writer.on_written(false, start + 1s);
    CHECK(writer.unwritten() == 1);
    REQUIRE(writer.next_due() <= start + 2s);
    auto const second = writer.take_write(writer.next_due());
    REQUIRE(second);
    CHECK(second->writes.front().key == first->writes.front().key);
    writer.on_written(true, start + 2s);
    CHECK(writer.unwritten() == 0);
}

// Guards against losing the record of a running stream, while the store is
// away, to records of streams that have ended.
TEST_CASE("records of ended streams give way before those that wait longest",
          "[stream_rows]")
{
    stream_row_writer writer;
    writer.add(record("long", 600s), start);
    time_point now = start;
    for (int number = 0; number < 20'000; ++number)
    {
        now += 10ms;
        writer.add(
            {request_id(fmt::format("s{}", number)), service, v1, now + 100ms},
            now);
    }
    auto const transaction = writer.take_write(now);
    REQUIRE(transaction);
    CHECK(transaction->writes.front().key ==
          stream_row_key(request_id("long"), service));
}

// Guards against taking a record for written before it is.
TEST_CASE("records are numbered in the order in which they are written",
          "[stream_rows]")
{
    stream_row_writer writer;
    CHECK(writer.first_unwritten() == 1);
    CHECK(writer.add(record("ended", duration(0)), start) == 0);
    for (std::uint64_t number = 1; number <= 60; ++number)
        CHECK(writer.add(record(fmt::format("s{}", number)), start) == number);
    CHECK(writer.first_unwritten() == 1);
    auto const first = writer.take_write(start);
    REQUIRE(first);
    std::size_t const rows = puts(*first);
    CHECK(writer.first_unwritten() == 1);
    writer.on_written(false, start);
    CHECK(writer.first_unwritten() == 1);
    auto const again = writer.take_write(writer.next_due());
    REQUIRE(again);
    CHECK(std::equal(again->writes.begin(), again->writes.end(),
                     first->writes.begin(), first->writes.end(),
                     [](table_write const& a, table_write const& b)
                     { return a.key == b.key; }));
    writer.on_written(true, start + 1s);
    CHECK(writer.first_unwritten() == rows + 1);
    REQUIRE(writer.take_write(start + 2s));
    writer.on_written(true, start + 2s);
    CHECK(writer.first_unwritten() == 61);
}

// Guards against a delay that few VMs need not have.
TEST_CASE("few writers write more often", "[stream_rows]")
{
    auto const interval = [](std::size_t writers)
    {
        stream_row_writer writer;
        writer.set_writers(writers);
        writer.add(record("a"), start);
        REQUIRE(writer.take_write(start));
        writer.on_written(true, start);
        writer.add(record("b"), start);
        return writer.next_due() - start;
    };
    CHECK(interval(0) == interval(1));
    CHECK(interval(1) * 6 == interval(6));
    CHECK(interval(16) == 100ms);
    CHECK(interval(320) == 100ms);
}

// Guards against rows that stay for ever.
TEST_CASE("rows are deleted after their streams have ended", "[stream_rows]")
{
    stream_row_writer writer;
    for (int number = 0; number < 30; ++number)
        writer.add(record(fmt::format("s{}", number), 2s), start);
    auto const written = writer.take_write(start);
    REQUIRE(written);
    writer.on_written(true, start);
    CHECK(writer.next_due() >= start + 2s);
    REQUIRE(writer.next_due() < start + 10s);
    auto const deleted = writer.take_write(writer.next_due());
    REQUIRE(deleted);
    CHECK(puts(*deleted) == 0);
    CHECK(deleted->writes.size() == written->writes.size());
    writer.on_written(true, start + 10s);
    CHECK(writer.next_due() == never);
}

TEST_CASE("records of streams that have ended are not written", "[stream_rows]")
{
    stream_row_writer writer;
    writer.add(record("ended", 0s), start);
    writer.add(record("", 10s), start);
    CHECK(writer.next_due() == never);
    writer.add(record("ends", 1s), start);
    CHECK_FALSE(writer.take_write(start + 2s));
}

// Guards against rows whose writer is gone.
TEST_CASE("rows that VMs left behind are deleted once they are obsolete",
          "[stream_rows]")
{
    stream_row_sweep sweep;
    auto const row = row_of(record("left", 10s), 7, start);
    time_point now = start;
    for (; now < start + 40s; now += 20s)
    {
        sweep.on_row(row, now);
        sweep.finish();
        CHECK_FALSE(sweep.take_obsolete(now));
    }
    now = start + 60s;
    sweep.on_row(row, now);
    sweep.on_row(row_of(record("running", 120s), 8, now), now);
    sweep.finish();
    auto const deleted = sweep.take_obsolete(now);
    REQUIRE(deleted);
    REQUIRE(deleted->writes.size() == 1);
    CHECK(deleted->writes.front().key == row.key);
    CHECK(deleted->conditions ==
          std::vector{table_condition{row.key, row_version(7)}});
}
