// Guarantees that hold while engines fail and connections to engines are cut or
// go silent, on real processes under traffic.
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

/// Starts a stream through each VM and waits until its first events arrive.
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
    // All open connections to the engines stop carrying bytes in the middle of
    // streams without being closed; new connections work. The VM detects the
    // silence and resumes each stream at the next event.
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

TEST_CASE("repeatedly cut and silent engine connections violate no guarantee",
          "[engine]")
{
    // All kinds of traffic continue while the links go silent and are cut in
    // turn.
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

TEST_CASE("a cut stream that the engine cannot resume is reported as cut",
          "[engine]")
{
    // The engine has dropped the stream's state. The caller has received a part
    // of the answer and must learn that the answer is incomplete.
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

TEST_CASE(
    "engines that restart without state during streams violate no guarantee",
    "[engine]")
{
    // The restart loses loaded adapters and streams. Callers with a part of an
    // answer are told that it is cut; other requests are served after the
    // adapters are loaded again.
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

TEST_CASE("failed adapter loads are retried and violate no guarantee",
          "[engine]")
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

TEST_CASE("an answer that names another adapter reaches no caller", "[engine]")
{
    // The engine returns an adapter name that was not requested, so the origin
    // of the text is unknown.
    scenario run;
    run.start_traffic();
    REQUIRE(run.wait_for_answers(some_answers));
    run.world().control_engine(for_all_workers("wrong_model", 20));
    CHECK(run.wait_for_answers(some_answers));
    CHECK(to_string(run.finish()) == no_findings);
}

TEST_CASE("a VM frozen while engines restart violates no guarantee", "[engine]")
{
    // Two failures together: while the owner is frozen, the engine loses its
    // loaded adapters and another VM takes over and loads adapters. The first
    // VM then resumes with outdated knowledge.
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

TEST_CASE("a caller that disconnects cancels only its own request", "[engine]")
{
    // The stream is cancelled at the engine, so that it occupies no place in
    // the batch; the other streams are complete.
    scenario run;
    auto const streams = start_streams(run);
    run.callers().disconnect(streams.front());
    CHECK(eventually([&] { return has_engine_event(run, "cancelled"); }));
    CHECK(answered_whole(streams.at(1)->wait()));
    CHECK(answered_whole(streams.at(2)->wait()));
    CHECK(to_string(run.finish()) == no_findings);
}
