#include "request_trace.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

char const* const first_vm = R"(listening callers 127.0.0.1:1
{"level":"warning","text":"configuration taken","time":"2026-01-01T00:00:01","vm":"vm-1","version":7}
{"level":"warning","text":"worker listed","time":"2026-01-01T00:00:02","vm":"vm-1","worker":"w1"}
{"level":"warning","text":"worker listed","time":"2026-01-01T00:00:02","vm":"vm-1","worker":"w2"}
not a line of ours
{"level":"warning","text":"tries again","time":"2026-01-01T00:00:05","vm":"vm-1","request":"r1","worker":"w1","reason":"connection reset"}
{"level":"warning","text":"failed","time":"2026-01-01T00:00:06","vm":"vm-1","request":"r1","worker":"w1","reason":"deadline"}
)";
char const* const second_vm =
    R"({"text":"store lost","time":"2026-01-01T00:00:03","vm":"vm-2"}
{"text":"rejected","time":"2026-01-01T00:00:04","vm":"vm-2","request":"r2","reason":"no worker"}
)";

std::vector<log_line> all_lines()
{
    std::vector<log_line> lines = parse_log(first_vm);
    for (log_line& line : parse_log(second_vm))
        lines.push_back(std::move(line));
    return lines;
}

std::vector<std::string> events(std::vector<log_line> const& trace)
{
    std::vector<std::string> names;
    for (log_line const& line : trace)
        names.push_back(line.event);
    return names;
}

} // namespace

TEST_CASE("a trace holds the request's lines and the VM's state at that time",
          "[log_story]")
{
    auto const trace = trace_request("r1", all_lines());
    CHECK(events(trace) == std::vector<std::string>{"configuration taken",
                                                    "worker listed",
                                                    "tries again", "failed"});
    // Lines on the other worker are left out.
    CHECK(trace[1].worker == "w1");
}

TEST_CASE("a trace leaves out the state of other VMs", "[log_story]")
{
    CHECK(events(trace_request("r2", all_lines())) ==
          std::vector<std::string>{"store lost", "rejected"});
}

TEST_CASE("a request that no line names has an empty trace", "[log_story]")
{
    CHECK(trace_request("r3", all_lines()).empty());
}

TEST_CASE("the text of a line includes its details", "[log_story]")
{
    auto const trace = trace_request("r2", all_lines());
    CHECK(to_text(trace.back()) ==
          "2026-01-01T00:00:04 vm-2 rejected reason=no worker");
}

// Guards against a refusal that the trace does not explain: the crashes that
// led to it happened under other attempts, at other VMs.
TEST_CASE(
    "the trace of a refused request lists the crashes under other attempts",
    "[log_story]")
{
    char const* const text =
        R"({"text":"worker crashed under request","time":"2026-01-01T00:00:01","vm":"vm-1","request":"r1","content":"c1","worker":"w1"}
{"text":"worker crashed under request","time":"2026-01-01T00:00:02","vm":"vm-2","request":"r2","content":"c2","worker":"w1"}
{"text":"request quarantined","time":"2026-01-01T00:00:03","vm":"vm-1","content":"c1","workers":"w1 w2 w3"}
{"text":"request refused","time":"2026-01-01T00:00:04","vm":"vm-2","request":"r3","content":"c1"}
{"text":"request refused","time":"2026-01-01T00:00:05","vm":"vm-2","request":"r4","content":"c1"}
)";
    auto const trace = trace_request("r3", parse_log(text));
    CHECK(events(trace) ==
          std::vector<std::string>{"worker crashed under request",
                                   "request quarantined", "request refused"});
    CHECK(to_text(trace.front()) ==
          "2026-01-01T00:00:01 vm-1 worker crashed under request worker=w1 "
          "request=r1 content=c1");
    // The trace of a request that was not refused leaves out other requests.
    CHECK(events(trace_request("r1", parse_log(text))).size() == 1);
}
