#include "event_log.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

struct written_lines
{
    event_log::writer writer()
    {
        return [this](log_level, std::string_view, std::string_view event,
                      std::string const& fields)
        { lines.push_back(std::string(event) + " " + fields); };
    }
    std::vector<std::string> lines;
};

time_point const start{std::chrono::hours(1)};

} // namespace

TEST_CASE("fields become members of a JSON object", "[event_log]")
{
    log_fields fields;
    fields.add("request", "r\"1").add("count", 2).add("age_ms", duration(1500));
    CHECK(fields.str() == R"("request":"r\"1","count":2,"age_ms":1)");
}

// Guards against log volume that grows with the load: every request of a burst
// is rejected, and the next line written carries the number of lines left out.
TEST_CASE("lines over the rate are left out and counted", "[event_log]")
{
    written_lines written;
    event_log log("relay", 10, written.writer());
    for (int number = 0; number < 100; ++number)
        log.notable("rejected", log_fields(), start);
    CHECK(written.lines.size() == 10);
    CHECK(log.lines_left_out() == 90);
    log.notable("rejected", log_fields(), start + 1s);
    CHECK(written.lines.back() == R"(rejected "lines_left_out":90)");
}

TEST_CASE("routine lines do not crowd out notable ones", "[event_log]")
{
    written_lines written;
    event_log log("relay", 5, written.writer());
    for (int number = 0; number < 50; ++number)
        log.routine("placed", log_fields(), start);
    log.notable("failed", log_fields(), start);
    CHECK(written.lines.size() == 6);
    CHECK(written.lines.back().starts_with("failed"));
}
