// What must always hold while engines misbehave and connections to them go
// silent: real processes under traffic.
#include "process_traffic.hpp"
#include "process_wait.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mulberry_test;

namespace
{

constexpr std::size_t some_answers = 60;
constexpr std::size_t long_stream = 400;

Json::Value for_all_workers(char const* name, Json::Value const& value)
{
    Json::Value body = order(name, value);
    body["worker"] = "*";
    return body;
}

Json::Value engine_links(char const* name)
{
    Json::Value body = order("link", "engines");
    body[name] = true;
    return body;
}

bool has_engine_event(scenario& run, std::string const& kind)
{
    auto const events = run.world().engine_history();
    return std::any_of(events.begin(), events.end(),
                       [&](Json::Value const& event)
                       { return event["kind"].asString() == kind; });
}

/// A stream through each VM, each of which has begun to arrive.
std::vector<caller_registry::request_ptr> start_streams(scenario& run)
{
    std::vector<caller_registry::request_ptr> streams;
    for (std::size_t const vm : {0, 1, 2})
    {
        model_call call = run.call_to(vm, run.world().adapters().front());
        call.prompt += " through VM " + std::to_string(vm);
        call.streamed = true;
        call.tokens = long_stream;
        streams.push_back(run.callers().send(call));
        REQUIRE(streams.back()->wait_for("\"offset\":2"));
    }
    return streams;
}

} // namespace

TEST_CASE("streams whose connections go silent are resumed without a gap",
          "[engine]")
{
    // All connections open to the engines stop carrying bytes for good, in the
    // middle of streams, without being closed. New ones work. The VM notices
    // the silence and resumes each stream at its next event.
    scenario run;
    auto const streams = start_streams(run);
    run.world().control_link(engine_links("silent"));
    for (auto const& each : streams)
        CHECK(answered_whole(each->wait()));
    CHECK(has_engine_event(run, "resumed"));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("streams whose connections are cut are resumed without a gap",
          "[engine]")
{
    scenario run;
    auto const streams = start_streams(run);
    run.world().control_link(engine_links("cut"));
    for (auto const& each : streams)
        CHECK(answered_whole(each->wait()));
    CHECK(has_engine_event(run, "resumed"));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("connections to engines cut and silent again and again break nothing",
          "[engine]")
{
    // Traffic of all kinds goes on while the links fail in turn.
    scenario run;
    run.start_traffic();
    for (int round = 0; round < 3; ++round)
    {
        REQUIRE(run.wait_for_answers(some_answers / 2));
        run.world().control_link(engine_links("silent"));
        REQUIRE(run.wait_for_answers(some_answers / 2));
        run.world().control_link(engine_links("cut"));
    }
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a cut stream that the engine has forgotten is told as cut",
          "[engine]")
{
    // The engine cannot resume it. The caller has a part of the answer: it is
    // told that this is no end.
    scenario run;
    run.world().control_engine(for_all_workers("forget_streams", true));
    auto const streams = start_streams(run);
    run.world().control_link(engine_links("cut"));
    for (auto const& each : streams)
    {
        auto const seen = each->wait();
        CHECK(error_in(seen).kind == "answer_cut");
        CHECK_FALSE(answered_whole(seen));
    }
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("engines that restart cold in the middle of streams break nothing",
          "[engine]")
{
    // Adapters and streams are gone. Callers with a part of an answer are told
    // that it is cut; the others are served after loads anew.
    scenario run;
    run.start_traffic();
    for (int round = 0; round < 3; ++round)
    {
        REQUIRE(run.wait_for_answers(some_answers));
        run.world().control_engine(for_all_workers("restart", true));
    }
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("loads that fail are tried again and break nothing", "[engine]")
{
    scenario run;
    run.start_traffic();
    for (int round = 0; round < 3; ++round)
    {
        run.world().control_engine(for_all_workers("fail_loads", 5));
        REQUIRE(run.wait_for_answers(some_answers));
    }
    CHECK(has_engine_event(run, "load_failed"));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("an answer that bears another adapter's name reaches no caller",
          "[engine]")
{
    // The engine echoes a name that was not asked for; whose text that is
    // nobody knows.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.world().control_engine(for_all_workers("wrong_model", 20));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM frozen while an engine restarts does no harm", "[engine]")
{
    // Two failures together: the owner stands still, the engine forgets what
    // it had loaded, another VM takes over and loads, the first goes on with
    // what it believed.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.freeze_vm(1);
    run.world().control_engine(for_all_workers("restart", true));
    run.send_traffic_to({0, 2});
    CHECK(run.wait_for_answers(some_answers));
    run.world().vm(1).process->thaw();
    CHECK(eventually([&] { return run.world().ready(1); }));
    run.send_traffic_to({0, 1, 2});
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a caller that vanishes ends its request and no other", "[engine]")
{
    // The stream is cancelled at the engine, so that it takes no room in the
    // batch; the others come whole.
    scenario run;
    auto const streams = start_streams(run);
    run.callers().disconnect(streams.front());
    CHECK(eventually([&] { return has_engine_event(run, "cancelled"); }));
    CHECK(answered_whole(streams.at(1)->wait()));
    CHECK(answered_whole(streams.at(2)->wait()));
    CHECK(to_string(run.finish()) == no_findings);
}
