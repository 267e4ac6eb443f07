// Rows of streams within the limits of the metadata store.
#include "stream_row.hpp"
#include "stream_row_writer.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_row_bytes = 65536;
constexpr std::size_t max_call_bytes = 1024UL * 1024;
/// Callers' header fields may be this long.
constexpr std::size_t id_bytes = 30'000;
constexpr std::size_t base64_group = 4;
constexpr std::size_t base64_bytes = 3;

bool is_accepted(table_transaction const& transaction)
{
    std::size_t total = 0;
    for (table_write const& each : transaction.writes)
    {
        std::size_t const bytes = each.value ? each.value->size() : 0;
        total += bytes / base64_bytes * base64_group;
        if (bytes > max_row_bytes)
            return false;
    }
    return total <= max_call_bytes;
}

} // namespace

// Guards against callers whose long ids keep the records of other streams from
// the store.
TEST_CASE("long ids of streams hold up no other records", "[stream_rows]")
{
    // Bytes that are not ASCII take more space in a row.
    auto const [id_byte, count] =
        GENERATE(table<char, int>({{'\xff', 1}, {'x', 49}}));
    CAPTURE(id_byte, count);
    service_id const service("engine");
    time_point now{1000s};
    stream_row_writer writer;
    for (int number = 0; number < count; ++number)
        writer.add({request_id(std::string(id_bytes, id_byte) +
                               std::to_string(number)),
                    service, software_version("v1"), now + 10s},
                   now);
    request_id const other("other");
    writer.add({other, service, software_version("v1"), now + 10s}, now);
    std::string const key = stream_row_key(other, service);
    bool written = false;
    for (time_point const limit = now + 2s; now < limit; now += 50ms)
        if (auto const transaction = writer.take_write(now))
        {
            bool const accepted = is_accepted(*transaction);
            written |= accepted &&
                       std::any_of(transaction->writes.begin(),
                                   transaction->writes.end(),
                                   [&key](table_write const& each)
                                   { return each.key == key && each.value; });
            writer.on_written(accepted, now);
        }
    CHECK(written);
}
